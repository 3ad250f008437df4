package tablesync

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
)

// benchObjects returns the objects of both tables, with 20 servers per pool. The
// version selects the server that is draining.
func benchObjects(version int64, pools int) (platform.Object, platform.Object) {
	names := make([]string, pools)
	for i := range names {
		names[i] = fmt.Sprintf("pool-%d", i)
	}
	var servers strings.Builder
	for i := range 20 {
		fmt.Fprintf(&servers, "\n  {address = \"10.0.0.%d:80\", domain = \"d1\", drain = %v},", i, int64(i) == version%20)
	}
	object := poolsAt(version, names...)
	object.Value = []byte(strings.ReplaceAll(string(object.Value), "servers = []", "servers = ["+servers.String()+"]"))
	return object, routesAt(1, names...)
}

// BenchmarkFromPlatform measures the cost of one change at a watcher.
func BenchmarkFromPlatform(b *testing.B) {
	for _, pools := range []int{20, 800} {
		b.Run(fmt.Sprint(pools), func(b *testing.B) {
			s := New(Config{Self: "a", Domain: "d", Rand: rand.New(rand.NewPCG(1, 2))})
			object, routes := benchObjects(2, pools)
			s.FromPlatform(t0, routes, object)
			b.ReportAllocs()
			for b.Loop() {
				object.Version++
				s.FromPlatform(t0, object)
			}
			b.ReportMetric(float64(len(object.Value)), "table-B")
		})
	}
}

// BenchmarkWholeTables measures the cost of pulling whole tables at a host that
// starts.
func BenchmarkWholeTables(b *testing.B) {
	for _, pools := range []int{20, 800} {
		b.Run(fmt.Sprint(pools), func(b *testing.B) {
			source := newSync("a", "a", "b")
			object, routes := benchObjects(2, pools)
			source.FromPlatform(t0, routes, object)
			delta := source.OnPull(t0, "b", Pull{ID: 1})[0].Delta
			b.ReportAllocs()
			for b.Loop() {
				host := newSync("b", "a", "b")
				pull := host.OnVersions(t0, "a", delta.To)[0].Pull
				delta.ID = pull.ID
				if _, err := host.OnDelta(t0, "a", *delta); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(delta.Data)), "sent-B")
		})
	}
}

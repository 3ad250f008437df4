package blocks

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/platform"
)

// Guards against a chunk larger than a platform object at the target size of
// 160,000 blocks, and against a map that changes when it is encoded and decoded.
func TestEncodeDecodeTargetSize(t *testing.T) {
	m, err := Parse("b.txt", strings.NewReader("# comment\n10.0.0.0/8 s0 d0\n2001:db8::/32 s1 d1\n"))
	require.NoError(t, err)
	for i := range 160_000 {
		m.Add(netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 0}), 24), 1)
	}
	objects, err := Encode(m)
	require.NoError(t, err)
	for _, o := range objects {
		require.LessOrEqual(t, len(o.Value), platform.MaxValueBytes)
	}
	sites, table, err := Decode(objects)
	require.NoError(t, err)
	require.Equal(t, m.Sites, sites)
	require.Equal(t, 160_002, table.Size())
	site, ok := table.Lookup(netip.MustParseAddr("2001:db8::1"))
	require.True(t, ok)
	require.EqualValues(t, 1, site)
}

// Guards against malformed lines and chunks that are accepted or reported without
// their place.
func TestErrors(t *testing.T) {
	_, err := Parse("b.txt", strings.NewReader("10.0.0.0/99 s d\n"))
	require.EqualError(t, err, `5000 table-invalid: b.txt:1: "10.0.0.0/99" is not an address prefix`)
	_, err = Parse("b.txt", strings.NewReader("10.0.0.0/8 s d\n11.0.0.0/8 s e\n"))
	require.EqualError(t, err, `5000 table-invalid: b.txt:2: site "s" is in domain "d" and "e"`)
	_, _, err = Decode([]platform.Object{{Key: "blocks/000", Value: []byte{0xff}}})
	require.ErrorContains(t, err, "5000 table-invalid: object blocks/000")
}

// Package cluster tests entry hosts together in one process on loopback, where
// tests can look into each host's state.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/demo"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/standin/backend"
)

// patience is a safety net for slow machines; no verdict depends on its length.
const patience = 30 * time.Second

func start(t *testing.T) *demo.Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	c, err := demo.StartCluster(ctx, demo.DefaultCluster())
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %s", what, patience)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is the answer of an entry host.
type reply struct {
	status  int
	header  http.Header
	body    backend.Body
	refusal api.Refusal
}

// send sends one request to one entry host, without the retries of a client.
func send(t *testing.T, addr, method, path, key, work string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+path, nil)
	require.NoError(t, err)
	if method == http.MethodPost {
		req.Body = io.NopCloser(strings.NewReader("item"))
		req.ContentLength = 4
	}
	if key != "" {
		req.Header.Set(api.HeaderKey, key)
	}
	req.Header.Set(backend.HeaderWork, work)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	r := reply{status: resp.StatusCode, header: resp.Header}
	if resp.Header.Get(api.HeaderCode) != "" {
		require.NoError(t, json.Unmarshal(text, &r.refusal))
	} else if len(text) > 0 {
		require.NoError(t, json.Unmarshal(text, &r.body), string(text))
	}
	return r
}

// node returns a running entry host of the cluster.
func node(t *testing.T, c *demo.Cluster, name string) *demo.Node {
	t.Helper()
	for _, n := range c.Nodes() {
		if n.Settings.Host.Name == name {
			return n
		}
	}
	t.Fatalf("no running host is called %s", name)
	return nil
}

func addr(t *testing.T, c *demo.Cluster, name string) string {
	t.Helper()
	return node(t, c, name).Settings.Listen.Caller
}

// lookup asks a host and returns its answer.
func lookup(t *testing.T, at, client, route string) api.LookupAnswer {
	t.Helper()
	resp, err := http.Get("http://" + at + api.LookupPath + "?route=" + route + "&client=" + client)
	require.NoError(t, err)
	defer resp.Body.Close()
	var a api.LookupAnswer
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	return a
}

// prefix returns the key prefix of a host as a look-up gives it.
func prefix(t *testing.T, c *demo.Cluster, name string, domain int) string {
	t.Helper()
	p := ""
	eventually(t, "the key prefix of "+name+" is known", func() bool {
		for _, h := range lookup(t, addr(t, c, name), c.ClientAddress(domain), "orders").Hosts {
			if h.Name == name {
				p = h.KeyPrefix
			}
		}
		return p != ""
	})
	return p
}

func edit(t *testing.T, c *demo.Cluster, table, text string) {
	t.Helper()
	tables := &admin.Tables{Store: c.Platform, Clock: time.Now}
	old, err := tables.Get(t.Context(), table)
	require.NoError(t, err)
	_, err = tables.Apply(t.Context(), admin.Edit{
		Table: table, Text: text, IfVersion: old.Version, Who: "test", Why: "test", Teams: []string{admin.AllTeams},
	})
	require.NoError(t, err)
}

// drain drains all servers of a pool in a failure domain.
func drain(t *testing.T, c *demo.Cluster, pool, domain string) {
	t.Helper()
	text := c.PoolsText("")
	for _, s := range c.Servers {
		if s.Pool == pool && s.Domain == domain {
			old := fmt.Sprintf("{ address = %q, domain = %q, drain = false }", s.Address, s.Domain)
			require.Contains(t, text, old)
			text = strings.Replace(text, old, strings.Replace(old, "false", "true", 1), 1)
		}
	}
	edit(t, c, "pools", text)
}

// Guards against a keyed write that cannot run in another failure domain: the
// host there does not own the key, and the owner has decided already.
func TestKeyedWriteSpills(t *testing.T) {
	c := start(t)
	// Look-ups name the host only while its domain serves the pool.
	owned := prefix(t, c, "astana-1-a", 2)
	drain(t, c, "orders", "astana-1")
	at := addr(t, c, "astana-1-a")
	elsewhere := 0
	n := 0
	eventually(t, "keyed writes run in another domain", func() bool {
		n++
		work := fmt.Sprintf("spilled-%d", n)
		r := send(t, at, http.MethodPost, "/orders/1", fmt.Sprintf("%s0123456789abcdef%04d", owned, n), work)
		require.Equal(t, http.StatusOK, r.status, "%s: %s", r.refusal.Name, r.refusal.Message)
		require.Equal(t, 1, runs(c)[work])
		if !strings.Contains(r.body.Server, "astana-1") {
			elsewhere++
		}
		return elsewhere == 5
	})
}

// Guards against requests that are lost when a failure domain has no servers
// left for a pool: they run in another domain under its credit.
func TestSpillUnderCredit(t *testing.T) {
	c := start(t)
	drain(t, c, "catalog", "astana-1")
	at := addr(t, c, "astana-1-a")
	elsewhere := 0
	eventually(t, "requests run in another domain", func() bool {
		r := send(t, at, http.MethodGet, "/catalog/1", "", "spilled")
		require.Equal(t, http.StatusOK, r.status, "a planned drain refuses no request: %s", r.refusal.Message)
		if !strings.Contains(r.body.Server, "astana-1") {
			elsewhere++
		}
		return elsewhere == 10
	})
	eventually(t, "look-ups lead elsewhere", func() bool {
		return lookup(t, at, c.ClientAddress(2), "catalog").Hosts[0].Domain != "astana-1"
	})
}

// Guards against a key that runs twice when it is sent to several entry hosts,
// also of other domains, and against a duplicate that gets another answer.
func TestKeyThroughOtherHosts(t *testing.T) {
	c := start(t)
	key := prefix(t, c, "almaty-1-a", 0) + "0123456789abcdef"
	first := send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/1", key, "keyed-1")
	require.Equal(t, http.StatusOK, first.status, first.refusal.Message)
	eventually(t, "all hosts know the owner", func() bool {
		for _, n := range c.Nodes() {
			r := send(t, n.Settings.Listen.Caller, http.MethodPost, "/orders/1", key, "keyed-1")
			if r.status != http.StatusOK {
				require.NotEqual(t, result.NotRun, r.refusal.Run, "the key has run")
				return false
			}
			require.Equal(t, "true", r.header.Get(api.HeaderReplayed))
			require.Equal(t, first.body, r.body)
		}
		return true
	})
	other := send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/2", key, "keyed-1")
	require.Equal(t, result.IdempotencyMismatch, other.refusal.Code)
	require.Equal(t, 1, runs(c)["keyed-1"])
}

func runs(c *demo.Cluster) map[string]int {
	out := map[string]int{}
	for _, s := range c.Servers {
		for work, n := range s.Counts().Runs {
			out[work] += n
		}
	}
	return out
}

// Guards against a key that can run again after its owner left gracefully: the
// successor answers with the stored answer.
func TestKeyHandover(t *testing.T) {
	c := start(t)
	key := prefix(t, c, "almaty-1-a", 0) + "0123456789abcdef"
	first := send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/1", key, "keyed-1")
	require.Equal(t, http.StatusOK, first.status)
	require.NoError(t, c.Shutdown(t.Context(), "almaty-1-a"))
	eventually(t, "the successor answers", func() bool {
		r := send(t, addr(t, c, "almaty-1-b"), http.MethodPost, "/orders/1", key, "keyed-1")
		return r.status == http.StatusOK && r.header.Get(api.HeaderReplayed) == "true"
	})
	fresh := send(t, addr(t, c, "almaty-1-b"), http.MethodPost, "/orders/1", strings.Replace(key, "0123", "fedc", 1), "keyed-2")
	require.Equal(t, http.StatusOK, fresh.status, "a key of the old owner that never ran may run at the successor")
	require.Equal(t, 1, runs(c)["keyed-1"])
	require.Equal(t, 1, runs(c)["keyed-2"])
}

// Guards against a guess about a key whose owner died: it is neither run nor
// called not-run.
func TestKeyOfDeadOwner(t *testing.T) {
	c := start(t)
	key := prefix(t, c, "almaty-1-a", 0) + "0123456789abcdef"
	require.Equal(t, http.StatusOK, send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/1", key, "keyed-1").status)
	c.Kill("almaty-1-a")
	at := addr(t, c, "almaty-1-b")
	eventually(t, "the owner is known to be gone", func() bool {
		r := send(t, at, http.MethodPost, "/orders/1", key, "keyed-1")
		require.Equal(t, result.Unknown, r.refusal.Run)
		return r.refusal.Code == result.KeyOwnerGone
	})
	require.Equal(t, 1, runs(c)["keyed-1"])
}

// Guards against an opaque key that runs twice through two hosts, and against a
// run that the platform could not record.
func TestOpaqueKey(t *testing.T) {
	c := start(t)
	first := send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/1", "opaque-key-1", "opaque-1")
	require.Equal(t, http.StatusOK, first.status, first.refusal.Message)
	again := send(t, addr(t, c, "astana-2-b"), http.MethodPost, "/orders/1", "opaque-key-1", "opaque-1")
	require.Contains(t, []result.Code{result.KeyAlreadyRun, result.KeyOutcomeUnknown, result.KeyInProgress}, again.refusal.Code)
	require.NotEqual(t, result.NotRun, again.refusal.Run)
	c.Platform.SetOutage(true)
	down := send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/2", "opaque-key-2", "opaque-2")
	require.Equal(t, result.KeyStoreDown, down.refusal.Code)
	require.Equal(t, 1, runs(c)["opaque-1"])
	require.Zero(t, runs(c)["opaque-2"])
}

// Guards against a lost answer of a server that is run again: a write is
// reported as unknown, a look-up is repeated elsewhere.
func TestBrokenAnswers(t *testing.T) {
	c := start(t)
	for _, s := range c.Servers {
		if s.Pool == "orders" {
			s.SetModes(backend.Modes{Truncate: true})
		}
	}
	r := send(t, addr(t, c, "almaty-1-a"), http.MethodPost, "/orders/1", "", "truncated")
	require.Equal(t, result.TruncatedAnswer, r.refusal.Code, r.refusal.Message)
	require.NotEqual(t, result.NotRun, r.refusal.Run)
	require.Equal(t, 1, runs(c)["truncated"])
	broken := 0
	for _, s := range c.Servers {
		if s.Pool == "catalog" && s.Domain == "almaty-1" && broken < 1 {
			s.SetModes(backend.Modes{WrongID: true})
			broken++
		}
	}
	for range 20 {
		r := send(t, addr(t, c, "almaty-1-a"), http.MethodGet, "/catalog/1", "", "wrong-id")
		require.Equal(t, http.StatusOK, r.status, r.refusal.Message)
	}
}

// Guards against refusals without their exact code and run state.
func TestRefusals(t *testing.T) {
	c := start(t)
	at := addr(t, c, "almaty-1-a")
	for _, x := range []struct {
		name, method, path, key string
		header                  http.Header
		body                    string
		code                    result.Code
		message                 string
	}{
		{"no route", "GET", "/nothing", "", nil, "", result.NoRoute, `no route matches "/nothing"`},
		{"method", "POST", "/catalog/1", "", nil, "", result.MethodNotAllowed, `route "catalog" does not accept POST`},
		{"deadline", "GET", "/catalog/1", "", http.Header{api.HeaderDeadline: {"soon"}}, "", result.BadDeadline, `Tamarackswitch-Deadline-Ms: "soon" is not a positive number of milliseconds`},
		{"key", "POST", "/orders/1", "k1.broken", nil, "", result.BadIdempotencyKey, ""},
		{"relay", "GET", "/catalog/1", "", http.Header{"Tamarackswitch-Relay": {"origin=x"}}, "", result.BadRelay, "the relay header is malformed"},
		{"body", "POST", "/orders/1", "", nil, strings.Repeat("x", 1<<20+1), result.BodyTooLarge, `the body has 1048577 bytes, route "orders" accepts 1048576`},
		{"head", "GET", "/catalog/1", "", http.Header{"X-Long": {strings.Repeat("x", 17<<10)}}, "", result.HeadTooLarge, ""},
		{"upgrade", "GET", "/catalog/1", "", http.Header{"Upgrade": {"x"}, "Connection": {"Upgrade"}}, "", result.BadRequest, "tunnels and protocol upgrades are not supported"},
	} {
		t.Run(x.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), x.method, "http://"+at+x.path, strings.NewReader(x.body))
			require.NoError(t, err)
			for k, v := range x.header {
				req.Header[k] = v
			}
			if x.key != "" {
				req.Header.Set(api.HeaderKey, x.key)
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			var r api.Refusal
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&r))
			require.Equal(t, x.code, r.Code, r.Message)
			require.Equal(t, result.NotRun, r.Run)
			require.Equal(t, x.code.HTTPStatus(), resp.StatusCode)
			require.Equal(t, "not-run", resp.Header.Get(api.HeaderRun))
			if x.message != "" {
				require.Equal(t, x.message, r.Message)
			}
		})
	}
}

// Guards against a demonstration that ends with a broken invariant.
func TestDemonstration(t *testing.T) {
	s, err := demo.Run(t.Context(), demo.Options{For: demo.MinDuration})
	require.NoError(t, err)
	require.Empty(t, s.Violations)
	for _, r := range s.Ranks {
		require.Positive(t, r.OnTime, r.Rank)
	}
	for _, i := range s.Invariants {
		require.Positive(t, i.Checks, i.Name)
	}
}

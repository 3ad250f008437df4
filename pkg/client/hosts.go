package client

import (
	"strings"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// unresponsiveLast moves values of hosts that are being avoided to the end and
// keeps the order otherwise.
func unresponsiveLast[T any](c *Client, values []T, processKeyOf func(T) string) []T {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var responsive, unresponsive []T
	for _, v := range values {
		if now.Before(c.avoid[processKeyOf(v)]) {
			unresponsive = append(unresponsive, v)
		} else {
			responsive = append(responsive, v)
		}
	}
	return append(responsive, unresponsive...)
}

// nextHost returns the host with the fewest attempts. Among equals, avoided hosts
// come last, and the order is otherwise that of the look-up answer. Hosts of a
// failure domain that refused an attempt for load come after all others, because
// they all ask the same dispatcher.
func (c *Client) nextHost(hosts []api.LookupHost, attempts map[string]int, fullDomains map[string]bool) api.LookupHost {
	ordered := unresponsiveLast(c, hosts, processKey)
	cost := func(h api.LookupHost) int {
		n := attempts[h.Address]
		if fullDomains[h.Domain] {
			n += len(hosts)
		}
		return n
	}
	best := ordered[0]
	for _, h := range ordered[1:] {
		if cost(h) < cost(best) {
			best = h
		}
	}
	return best
}

// isLoadRefusal reports whether a code says that a failure domain has no capacity
// for the request.
func isLoadRefusal(c result.Code) bool {
	switch c {
	case result.QueueFull, result.DeadlineTooShort, result.DeadlineExpired, result.CallerGroupLimit, result.NoHeadroom:
		return true
	}
	return false
}

// processKey identifies the process of a host by its address and its key prefix
// without the last part, which changes while the process runs. The prefix has the
// form "k1.DOMAIN.HOST.INCARNATION.WINDOW."; the incarnation is new after a
// restart, so that a restarted host is not avoided. If callers avoided a restarted
// host that is a dispatcher, each of their requests would cost its failure domain
// three messages.
func processKey(h api.LookupHost) string {
	prefix := strings.TrimSuffix(h.KeyPrefix, ".")
	return h.Address + " " + prefix[:max(0, strings.LastIndexByte(prefix, '.'))]
}

// avoidHost places a host that did not answer last for avoidFor.
func (c *Client) avoidHost(h api.LookupHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[processKey(h)] = time.Now().Add(avoidFor)
}

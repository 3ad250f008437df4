package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// AllTeams in the teams of a token allows changes of every row.
const AllTeams = "*"

// loopbackName is recorded for changes where no tokens are configured.
const loopbackName = "loopback"

// Token is a bearer token of an operator.
type Token struct {
	// Name is recorded with every change.
	Name string
	// Secret is the token itself.
	Secret string
	// Teams whose rows the token may change.
	Teams []string
}

// Identity is who makes a request.
type Identity struct {
	Name  string
	Teams []string
}

// Auth checks bearer tokens. Without tokens every request is allowed, which
// CheckListen restricts to loopback addresses.
type Auth struct{ tokens []hashedToken }

type hashedToken struct {
	hash [sha256.Size]byte
	id   Identity
}

// NewAuth returns an Auth. The error is a *result.Error with code
// SettingsInvalid if a token has no name or secret.
func NewAuth(tokens []Token) (*Auth, error) {
	a := &Auth{}
	for i, t := range tokens {
		if t.Name == "" || t.Secret == "" {
			return nil, result.New(result.SettingsInvalid, "token %d has no name or no secret", i+1)
		}
		a.tokens = append(a.tokens, hashedToken{sha256.Sum256([]byte(t.Secret)), Identity{t.Name, t.Teams}})
	}
	return a, nil
}

// CheckListen returns a *result.Error with code SettingsInvalid if the API would
// be reachable beyond loopback without tokens.
func (a *Auth) CheckListen(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return result.Wrap(err, result.SettingsInvalid, "administration address %q", address)
	}
	addr, err := netip.ParseAddr(host)
	if len(a.tokens) == 0 && (err != nil || !addr.IsLoopback()) {
		return result.New(result.SettingsInvalid, "administration address %q is not a loopback address and no tokens are configured", address)
	}
	return nil
}

// Identify returns who makes a request. The error is a *result.Error with code
// Unauthorized. All tokens are compared in constant time.
func (a *Auth) Identify(r *http.Request) (Identity, error) {
	if len(a.tokens) == 0 {
		return Identity{loopbackName, []string{AllTeams}}, nil
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, result.New(result.Unauthorized, "the request has no bearer token")
	}
	hash := sha256.Sum256([]byte(secret))
	var found *Identity
	for i := range a.tokens {
		if subtle.ConstantTimeCompare(hash[:], a.tokens[i].hash[:]) == 1 {
			found = &a.tokens[i].id
		}
	}
	if found == nil {
		return Identity{}, result.New(result.Unauthorized, "the bearer token is unknown")
	}
	return *found, nil
}

// Package result defines the numbered result codes that callers, operators and
// logs see, and the error type that carries them.
//
// docs/result-codes.md lists every code; a test compares the page with this
// file.
package result

import "net/http"

// Code identifies one outcome. Codes are stable across releases: a number is
// never given a new meaning.
type Code int

// OK and the codes for requests that a caller has to correct.
const (
	OK                  Code = 0
	BadRequest          Code = 1000
	NoRoute             Code = 1001
	BodyTooLarge        Code = 1002
	HeadTooLarge        Code = 1003
	BadDeadline         Code = 1004
	BadIdempotencyKey   Code = 1005
	IdempotencyMismatch Code = 1006
	MethodNotAllowed    Code = 1007
	SlowSender          Code = 1008
	BadRelay            Code = 1009
	UnknownClientBlock  Code = 1010
)

// Codes for requests refused before any backend server saw them.
const (
	QueueFull         Code = 2000
	DeadlineTooShort  Code = 2001
	NoHeadroom        Code = 2002
	LinkBudget        Code = 2003
	CallerGroupLimit  Code = 2004
	ShuttingDown      Code = 2005
	NoEntryHost       Code = 2006
	DispatcherUnknown Code = 2007
	DeadlineExpired   Code = 2008
	HostOverloaded    Code = 2009
)

// Codes for failures between an entry host and a backend server.
const (
	NoHealthyServer Code = 3000
	ConnectFailed   Code = 3001
	NoAnswer        Code = 3002
	TruncatedAnswer Code = 3003
	DeadlineRunning Code = 3004
	ServerShed      Code = 3005
	CallerGone      Code = 3006
	BadAnswer       Code = 3007
	RelayFailed     Code = 3008
	WrongServer     Code = 3009
	ConnsInUse      Code = 3010
)

// Codes for idempotency keys.
const (
	KeyInProgress       Code = 4000
	KeyAlreadyRun       Code = 4001
	KeyOwnerUnreachable Code = 4002
	KeyOwnerGone        Code = 4003
	KeyExpired          Code = 4004
	KeyStoreDown        Code = 4005
	KeyMemoryFull       Code = 4006
	KeyOutcomeUnknown   Code = 4007
)

// Codes for tables and the administration API.
const (
	TableInvalid    Code = 5000
	VersionConflict Code = 5001
	Unauthorized    Code = 5002
	TeamForbidden   Code = 5003
	PlatformDown    Code = 5004
	UpdateUnsettled Code = 5005
	ObjectTooLarge  Code = 5006
	TableNotFound   Code = 5007
	HostUnreachable Code = 5008
	TableNotLoaded  Code = 5009
)

// Codes for links between entry hosts.
const (
	PeerAuthFailed       Code = 6000
	PeerMessageTooLarge  Code = 6001
	PeerRateExceeded     Code = 6002
	PeerVersionMismatch  Code = 6003
	PeerSilent           Code = 6004
	PeerMessageMalformed Code = 6005
)

// Codes for processes and their settings.
const (
	SettingsInvalid Code = 7000
	ListenFailed    Code = 7001
	InvariantBroken Code = 7002
	ForcedStop      Code = 7003
	Usage           Code = 7004
	Internal        Code = 7005
)

// Info describes a code for documentation, HTTP answers and exit statuses.
type Info struct {
	Code    Code
	Name    string
	HTTP    int // HTTP status
	Exit    int // exit status of a command
	Meaning string
}

// Exit statuses of commands. Each family of codes has its own, so that a script
// can tell the families apart.
const (
	exitCaller   = 2
	exitLoad     = 3
	exitBackend  = 4
	exitKey      = 5
	exitTable    = 6
	exitPeer     = 7
	exitSettings = 8
)

// infos describes all codes in numeric order. HTTP status 499 has no constant in
// net/http; nginx uses it for a client that closed the connection.
var infos = []Info{
	{OK, "ok", http.StatusOK, 0, "The request was answered or the command did its work."},
	{BadRequest, "bad-request", http.StatusBadRequest, exitCaller, "The request is malformed."},
	{NoRoute, "no-route", http.StatusNotFound, exitCaller, "No row of the routes table matches the path."},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, exitCaller, "The body is larger than the route's max_body."},
	{HeadTooLarge, "head-too-large", http.StatusRequestHeaderFieldsTooLarge, exitCaller, "The request head is larger than the limit of the settings."},
	{BadDeadline, "bad-deadline", http.StatusBadRequest, exitCaller, "The deadline header is not a positive number of milliseconds."},
	{BadIdempotencyKey, "bad-idempotency-key", http.StatusBadRequest, exitCaller, "The idempotency key is malformed."},
	{IdempotencyMismatch, "idempotency-mismatch", http.StatusUnprocessableEntity, exitCaller, "The key was used before for another request."},
	{MethodNotAllowed, "method-not-allowed", http.StatusMethodNotAllowed, exitCaller, "The route does not accept this method."},
	{SlowSender, "slow-sender", http.StatusRequestTimeout, exitCaller, "The caller did not send the whole request in time."},
	{BadRelay, "bad-relay", http.StatusForbidden, exitCaller, "A relay header is missing a valid signature or has expired."},
	{UnknownClientBlock, "unknown-client-block", http.StatusBadRequest, exitCaller, "The client address of a lookup is malformed."},

	{QueueFull, "queue-full", http.StatusServiceUnavailable, exitLoad, "The queue of the request's rank is full."},
	{DeadlineTooShort, "deadline-too-short", http.StatusServiceUnavailable, exitLoad, "The expected wait is longer than the deadline."},
	{NoHeadroom, "no-headroom", http.StatusServiceUnavailable, exitLoad, "No failure domain has granted capacity for the request."},
	{LinkBudget, "link-budget", http.StatusServiceUnavailable, exitLoad, "The link between regions has no budget left for this rank."},
	{CallerGroupLimit, "caller-group-limit", http.StatusTooManyRequests, exitLoad, "The caller group has used its share of the queue."},
	{ShuttingDown, "shutting-down", http.StatusServiceUnavailable, exitLoad, "The entry host no longer accepts requests."},
	{NoEntryHost, "no-entry-host", http.StatusServiceUnavailable, exitLoad, "A lookup found no live entry host."},
	{DispatcherUnknown, "dispatcher-unknown", http.StatusServiceUnavailable, exitLoad, "The dispatcher of the pool did not answer in time."},
	{DeadlineExpired, "deadline-expired", http.StatusServiceUnavailable, exitLoad, "The deadline passed while the request was queued."},
	{HostOverloaded, "host-overloaded", http.StatusServiceUnavailable, exitLoad, "The entry host's own processor time does not suffice."},

	{NoHealthyServer, "no-healthy-server", http.StatusServiceUnavailable, exitBackend, "The pool has no backend server that accepts work."},
	{ConnectFailed, "connect-failed", http.StatusBadGateway, exitBackend, "No connection to the backend server could be opened."},
	{NoAnswer, "no-answer", http.StatusBadGateway, exitBackend, "The connection failed after the request was sent."},
	{TruncatedAnswer, "truncated-answer", http.StatusBadGateway, exitBackend, "The answer ended before its announced length."},
	{DeadlineRunning, "deadline-running", http.StatusGatewayTimeout, exitBackend, "The deadline passed while the backend server had the request."},
	{ServerShed, "server-shed", http.StatusServiceUnavailable, exitBackend, "The backend server refused the request without running it."},
	{CallerGone, "caller-gone", 499, exitBackend, "The caller went away before the answer; work was cancelled."},
	{BadAnswer, "bad-answer", http.StatusBadGateway, exitBackend, "The answer is malformed or belongs to another request."},
	{RelayFailed, "relay-failed", http.StatusBadGateway, exitBackend, "The connection to another entry host failed after the request was sent."},
	{WrongServer, "wrong-server", http.StatusServiceUnavailable, exitBackend, "Another backend server has the address and did not run the request."},
	{ConnsInUse, "conns-in-use", http.StatusServiceUnavailable, exitBackend, "All connections that the entry host may have to the backend server are in use."},

	{KeyInProgress, "key-in-progress", http.StatusConflict, exitKey, "A request with this key is running."},
	{KeyAlreadyRun, "key-already-run", http.StatusConflict, exitKey, "A request with this key ran; its answer is no longer stored."},
	{KeyOwnerUnreachable, "key-owner-unreachable", http.StatusServiceUnavailable, exitKey, "The entry host named by the key cannot be reached now."},
	{KeyOwnerGone, "key-owner-gone", http.StatusConflict, exitKey, "The entry host named by the key has ended; whether the key ran is unknown."},
	{KeyExpired, "key-expired", http.StatusConflict, exitKey, "The key is older than the retention; whether it ran is unknown."},
	{KeyStoreDown, "key-store-down", http.StatusServiceUnavailable, exitKey, "The platform could not record a key without prefix."},
	{KeyMemoryFull, "key-memory-full", http.StatusServiceUnavailable, exitKey, "The owner of the key has no room for another key."},
	{KeyOutcomeUnknown, "key-outcome-unknown", http.StatusConflict, exitKey, "A request with this key was sent and its outcome is unknown."},

	{TableInvalid, "table-invalid", http.StatusUnprocessableEntity, exitTable, "The table breaks a rule; the message names line and field."},
	{VersionConflict, "version-conflict", http.StatusConflict, exitTable, "The table changed since the version that was read."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, exitTable, "The bearer token is missing or unknown."},
	{TeamForbidden, "team-forbidden", http.StatusForbidden, exitTable, "The token may not change rows of this team."},
	{PlatformDown, "platform-down", http.StatusServiceUnavailable, exitTable, "The platform did not answer."},
	{UpdateUnsettled, "update-unsettled", http.StatusGatewayTimeout, exitTable, "The update's outcome could not be read back."},
	{ObjectTooLarge, "object-too-large", http.StatusRequestEntityTooLarge, exitTable, "The object is larger than 1 MB."},
	{TableNotFound, "table-not-found", http.StatusNotFound, exitTable, "There is no table of this name or version."},
	{HostUnreachable, "host-unreachable", http.StatusBadGateway, exitTable, "An entry host could not be asked."},
	{TableNotLoaded, "table-not-loaded", http.StatusServiceUnavailable, exitTable, "The entry host has no tables yet."},

	{PeerAuthFailed, "peer-auth-failed", http.StatusForbidden, exitPeer, "The other end did not prove knowledge of the shared key."},
	{PeerMessageTooLarge, "peer-message-too-large", http.StatusRequestEntityTooLarge, exitPeer, "A peer message is larger than the limit."},
	{PeerRateExceeded, "peer-rate-exceeded", http.StatusTooManyRequests, exitPeer, "A peer sent more messages than the limit."},
	{PeerVersionMismatch, "peer-version-mismatch", http.StatusBadRequest, exitPeer, "The protocol versions of two entry hosts have no overlap."},
	{PeerSilent, "peer-silent", http.StatusGatewayTimeout, exitPeer, "A peer link was silent past its deadline."},
	{PeerMessageMalformed, "peer-message-malformed", http.StatusBadRequest, exitPeer, "A peer message could not be decoded."},

	{SettingsInvalid, "settings-invalid", http.StatusInternalServerError, exitSettings, "The settings break a rule; the message names line and field."},
	{ListenFailed, "listen-failed", http.StatusInternalServerError, exitSettings, "A listener could not be opened."},
	{InvariantBroken, "invariant-broken", http.StatusInternalServerError, exitSettings, "An invariant check failed."},
	{ForcedStop, "forced-stop", http.StatusInternalServerError, exitSettings, "A second signal stopped the process before its work was finished."},
	{Usage, "usage", http.StatusBadRequest, exitSettings, "The command line is wrong."},
	{Internal, "internal", http.StatusInternalServerError, exitSettings, "An unexpected error."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, i := range infos {
		m[i.Code] = i
	}
	return m
}()

// All returns the description of every code in numeric order.
func All() []Info { return append([]Info(nil), infos...) }

// Lookup returns the description of c; unknown codes are described as Internal.
func (c Code) Lookup() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// Name returns the stable short name of c, such as "queue-full".
func (c Code) Name() string { return c.Lookup().Name }

// HTTPStatus returns the HTTP status that accompanies c.
func (c Code) HTTPStatus() int { return c.Lookup().HTTP }

// ExitStatus returns the exit status of a command that ends with c.
func (c Code) ExitStatus() int { return c.Lookup().Exit }

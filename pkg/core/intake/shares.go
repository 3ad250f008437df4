// Package intake decides how many clients a process takes at a time and which of them it
// turns away first. It performs no I/O.
package intake

// Machine is what the machine gives to the process.
type Machine struct {
	// MemoryBytes is the memory above which the process is ended.
	MemoryBytes int64
	// Descriptors is the largest number of open descriptors.
	Descriptors int
}

// Shares are the parts of a machine that may be used for clients and for connections to
// servers. What is left belongs to the process itself, to its tables, and to its calls to
// the store and to other entry hosts.
type Shares struct {
	// Callers, Lookups, Control and Service are the largest numbers of open connections
	// of callers, of callers that look up entry hosts, of other entry hosts, and of the
	// clients of each listener for the platform's own use.
	Callers, Lookups, Control, Service int
	// Requests is the largest number of callers' requests in progress. Over HTTP/2, one
	// connection carries many.
	Requests int
	// Servers is the largest number of open connections to backend servers, and Streams
	// that of answers that are passed on while they arrive.
	Servers, Streams int
	// ShedBytes is the memory of the Go runtime above which clients that keep the process
	// waiting are turned away, and HeapBytes that above which all new requests are.
	ShedBytes, HeapBytes int64
	// HeadBytes is the sum of the heads that have arrived in part. A field takes a multiple
	// of its length in memory.
	HeadBytes int64
	// socketBytes is the memory for the receive buffers of all callers' connections.
	socketBytes int64
}

const (
	// fileDescriptors are left for files, for listeners, and for the calls to the store
	// and to other entry hosts; on a small machine a quarter of all.
	fileDescriptors = 264
	// bytesPerCaller is the memory that a connection with a request takes: its
	// goroutines, its buffers, and what its receive buffer holds.
	bytesPerCaller = 80 << 10
	// bytesPerStream is the memory of an answer that is passed on while it arrives.
	bytesPerStream = 160 << 10
	// minShare lets each part work on the smallest machine.
	minShare = 8
)

// Divide divides a machine.
func Divide(m Machine) Shares {
	clientBytes := m.MemoryBytes / 2
	descriptors := m.Descriptors - min(fileDescriptors, m.Descriptors/4)
	part := func(share, of int) int { return max(descriptors*share/of, minShare) }
	s := Shares{
		Callers: min(part(8, 16), max(int(clientBytes/bytesPerCaller), minShare)),
		Lookups: part(1, 16), Control: part(1, 32), Service: part(1, 64),
		Servers:   part(5, 16),
		Streams:   max(int(m.MemoryBytes/8/bytesPerStream), minShare),
		ShedBytes: m.MemoryBytes / 2, HeapBytes: m.MemoryBytes * 5 / 8, HeadBytes: m.MemoryBytes / 32, socketBytes: m.MemoryBytes / 16,
	}
	// Requests whose connection was closed take a moment to end.
	s.Requests = s.Callers + s.Callers/4
	return s
}

// CollectorLimit returns the soft limit on the memory of the Go runtime, from which on the
// garbage collector runs more often: usual, unless so much of it is in use that the collector
// would take half of the processor time. It leaves room below ShedBytes.
func (s Shares) CollectorLimit(usual, live int64) int64 {
	return max(usual, min(live+live/2, s.ShedBytes*7/8))
}

const (
	minSocketBuffer = 16 << 10
	maxSocketBuffer = 128 << 10
)

// SocketBuffer returns the size of the buffers of a connection that is accepted while open
// others are. The fewer there are, the more a far sender may have on its way.
func (s Shares) SocketBuffer(open int) int {
	return int(min(max(s.socketBytes/int64(2*(open+1)), minSocketBuffer), maxSocketBuffer))
}

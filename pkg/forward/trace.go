package forward

// Trace says what happened to a request on its connection, for logs. Do fills it in, also
// if it fails. If a connection turned out to be unusable before anything was sent, it
// describes the next one.
type Trace struct {
	// Conn identifies the connection within the Forwarder; 0 means that none was opened.
	Conn int64
	// EarlierAnswers is the number of answers that the connection had carried before.
	EarlierAnswers int
	// Written is the number of bytes of the request that were handed to the connection.
	Written int64
	// BodyCut means that the server had answered, but could not be sent the rest of the
	// body.
	BodyCut bool
	// Basis is why the answer was believed to refuse this request; empty if it was not.
	Basis Basis
}

// beginTrace notes the connection of an attempt.
func (x *exchange) beginTrace() {
	if t := x.req.Trace; t != nil {
		*t = Trace{Conn: x.conn.id, EarlierAnswers: x.conn.answers}
	}
	x.writtenBefore = x.conn.raw.written.Load()
}

// traceWritten notes how much of the request was handed to the connection.
func (x *exchange) traceWritten() {
	if t := x.req.Trace; t != nil {
		t.Written = x.conn.raw.written.Load() - x.writtenBefore
	}
}

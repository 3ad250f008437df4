package crowd

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// reconnectPause is how long a client waits before it connects again after the host has
// closed its connection.
const reconnectPause = 100 * time.Millisecond

// client is one client that does not behave, on one connection. It returns when the
// connection is closed.
type client func(ctx context.Context, c net.Conn, request string)

// gather runs a crowd of size clients against an address until ctx ends. request is the
// beginning of the head of a request that the address serves.
func gather(ctx context.Context, address, request string, size int, run client) *sync.WaitGroup {
	var crowd sync.WaitGroup
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: smallReceiveBuffer}
	for range size {
		crowd.Go(func() {
			for ctx.Err() == nil {
				if c, err := dialer.DialContext(ctx, "tcp4", address); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					run(ctx, c, request)
					stop()
					_ = c.Close()
				}
				sleep(ctx, reconnectPause)
			}
		})
	}
	return &crowd
}

// smallReceiveBuffer lets a client that does not read block the host early.
func smallReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// closed waits until the host closes the connection or ctx ends.
func closed(c net.Conn) {
	var b [1]byte
	_, _ = c.Read(b[:]) // at most one byte of an answer is read
}

// silent sends nothing.
func silent(_ context.Context, c net.Conn, _ string) { closed(c) }

// sendAhead sends requests without a pause and reads nothing.
func sendAhead(_ context.Context, c net.Conn, request string) {
	many := strings.Repeat(request+"\r\n", 50)
	for {
		if _, err := io.WriteString(c, many); err != nil {
			return
		}
	}
}

// trickleHead sends a long head of many lines and does not end it.
func trickleHead(ctx context.Context, c net.Conn, request string) {
	_, err := io.WriteString(c, request+strings.Repeat("A: b\r\n", 7000))
	for err == nil && ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		_, err = io.WriteString(c, "A: b\r\n")
	}
}

// stallUpload sends a part of a long body, then a byte now and again.
func stallUpload(ctx context.Context, c net.Conn, request string) {
	request = strings.Replace(request, "GET", "POST", 1)
	_, err := io.WriteString(c, request+"Content-Length: 10000000\r\n\r\n"+strings.Repeat("x", 31<<10))
	for err == nil && ctx.Err() == nil {
		sleep(ctx, 200*time.Millisecond)
		_, err = io.WriteString(c, "x")
	}
}

// fillUpload sends a long body without a pause to a server that does not read it.
func fillUpload(_ context.Context, c net.Conn, request string) {
	request = strings.Replace(request, "GET /ordinary/", "POST /ordinary/unread", 1)
	_, err := io.WriteString(c, request+"Content-Length: 100000000\r\n\r\n")
	for body := strings.Repeat("x", 64<<10); err == nil; {
		_, err = io.WriteString(c, body)
	}
}

// sendLongTexts sends requests with a long id and path, and reads the answers.
func sendLongTexts(_ context.Context, c net.Conn, request string) {
	discard(c)
	long := strings.Repeat("x", 20<<10)
	request = strings.Replace(request, "/1 ", "/"+long+" ", 1)
	request = strings.Replace(request, "X-Request-Id: ", "X-Request-Id: "+long, 1)
	for {
		if _, err := io.WriteString(c, request+"\r\n"); err != nil {
			return
		}
	}
}

// readSlowly asks for a long answer and reads little of it.
func readSlowly(ctx context.Context, c net.Conn, request string) {
	_, err := io.WriteString(c, strings.Replace(request, "/ordinary/", "/long/", 1)+"\r\n")
	for b := make([]byte, 16); err == nil && ctx.Err() == nil; {
		sleep(ctx, 100*time.Millisecond)
		_, err = c.Read(b)
	}
}

// HTTP/2 frames (RFC 9113).
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	frameSettings     = 0x4
	framePing         = 0x6
	frameContinuation = 0x9
	flagEndStream     = 0x1
	flagEndHeaders    = 0x4
	http2Preface      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// settingInitialWindow is the setting for the window of new streams.
	settingInitialWindow = 0x4
)

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := make([]byte, 9, 9+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload))<<8|uint32(kind))
	b[4] = flags
	binary.BigEndian.PutUint32(b[5:], stream)
	return append(b, payload...)
}

// headerBlock encodes the head of a request without compression.
func headerBlock(request string, more ...string) []byte {
	lines := strings.Split(strings.TrimSuffix(request, "\r\n"), "\r\n")
	first := strings.Fields(lines[0])
	fields := []string{":method", first[0], ":scheme", "http", ":path", first[1]}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		name = strings.ToLower(name)
		if name == "host" {
			name = ":authority"
		}
		fields = append(fields, name, value)
	}
	var out []byte
	for i, text := range append(fields, more...) {
		if i%2 == 0 {
			out = append(out, 0) // a literal field that is not added to the table
		}
		out = append(append(out, byte(len(text))), text...)
	}
	return out
}

// startHTTP2 begins an HTTP/2 connection whose streams have the given window.
func startHTTP2(c net.Conn, window uint32) error {
	setting := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint16(nil, settingInitialWindow), window)
	_, err := c.Write(append([]byte(http2Preface), frame(frameSettings, 0, 0, setting)...))
	return err
}

// discard reads what the host sends and leaves it unanswered.
func discard(c net.Conn) { go func() { _, _ = io.Copy(io.Discard, c) }() }

// http2Closed waits until the host closes the connection, reading what it sends.
func http2Closed(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// resetStreams opens streams and cancels them at once, without end.
func resetStreams(_ context.Context, c net.Conn, request string) {
	discard(c)
	err := startHTTP2(c, 65535)
	for stream := uint32(1); err == nil && stream < 1<<31; stream += 2 {
		b := frame(frameHeaders, flagEndStream|flagEndHeaders, stream, headerBlock(request))
		_, err = c.Write(append(b, frame(frameReset, 0, stream, []byte{0, 0, 0, 8})...))
	}
}

// smallWindows asks for long answers on many streams and never opens their windows.
func smallWindows(_ context.Context, c net.Conn, request string) {
	err := startHTTP2(c, 1)
	for stream := uint32(1); err == nil && stream < 2*250; stream += 2 {
		_, err = c.Write(frame(frameHeaders, flagEndStream|flagEndHeaders, stream, headerBlock(strings.Replace(request, "/ordinary/", "/long/", 1))))
	}
	http2Closed(c)
}

// stallStreams sends a part of a long body on many streams.
func stallStreams(ctx context.Context, c net.Conn, request string) {
	discard(c)
	block := headerBlock(strings.Replace(request, "GET", "POST", 1), "content-length", "10000000")
	err := startHTTP2(c, 65535)
	for stream := uint32(1); err == nil && stream < 2*250; stream += 2 {
		_, err = c.Write(frame(frameHeaders, flagEndHeaders, stream, block))
	}
	data := make([]byte, 4<<10)
	for round := 0; err == nil && ctx.Err() == nil; round++ {
		for stream := uint32(1); err == nil && stream < 2*250; stream += 2 {
			if round < 7 {
				_, err = c.Write(frame(frameData, 0, stream, data))
			} else {
				_, err = c.Write(frame(frameData, 0, stream, data[:1]))
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// endlessHeads sends heads of many fields in parts.
func endlessHeads(_ context.Context, c net.Conn, request string) {
	discard(c)
	err := startHTTP2(c, 65535)
	var many []byte
	for i := range 1000 {
		many = append(many, 0, 4)
		many = append(many, fmt.Sprintf("%04d", i)...)
		many = append(many, 1, 'b')
	}
	for stream := uint32(1); err == nil && stream < 1<<31; stream += 2 {
		_, err = c.Write(frame(frameHeaders, flagEndStream, stream, headerBlock(request)))
		for part := 0; err == nil && part < 8; part++ {
			flags := byte(0)
			if part == 7 {
				flags = flagEndHeaders
			}
			_, err = c.Write(frame(frameContinuation, flags, stream, many))
		}
	}
}

// sendPings sends pings without a pause and reads no answers.
func sendPings(_ context.Context, c net.Conn, _ string) {
	err := startHTTP2(c, 65535)
	var many []byte
	for range 200 {
		many = append(many, frame(framePing, 0, 0, make([]byte, 8))...)
		many = append(many, frame(frameSettings, 0, 0, nil)...)
	}
	for err == nil {
		_, err = c.Write(many)
	}
}

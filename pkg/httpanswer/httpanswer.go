// Package httpanswer checks the heads of HTTP/1 answers more strictly than net/http, which
// accepts status codes that do not exist, other versions of the protocol, and field names with
// blanks. Behind such a head the body may be framed by something else than its sender meant.
package httpanswer

import (
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

const (
	minStatus = 100
	maxStatus = 599
	// protoMajor is the major version of the protocol in the heads of answers.
	protoMajor = 1
)

// CheckHead returns an error if the status line or a field of the head is none that RFC 9110
// and RFC 9112 allow.
func CheckHead(resp *http.Response) error {
	status, _, _ := strings.Cut(resp.Status, " ")
	switch {
	case resp.ProtoMajor != protoMajor:
		return errors.Errorf("the answer has the protocol version %.16q", resp.Proto)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus || !isDigits(status):
		return errors.Errorf("the answer has the status %.16q", status)
	}
	return CheckFields(resp.Header)
}

// CheckFields returns an error if the name or the value of a field has a character that it
// must not have.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if !isToken(name) {
			return errors.Errorf("the answer has a field with the name %.64q", name)
		}
		for _, v := range values {
			if hasControl(v) {
				return errors.Errorf("the field %.64q of the answer has a control character", name)
			}
		}
	}
	return nil
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return text != ""
}

// tokenSymbols are the characters of a token that are neither letters nor digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

func isToken(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case strings.IndexByte(tokenSymbols, c) < 0:
			return false
		}
	}
	return text != ""
}

// hasControl reports whether the value of a field has a control character other than a tab.
func hasControl(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

// transport checks the answers of another transport.
type transport struct{ base http.RoundTripper }

// NewTransport returns a transport that fails for answers that CheckHead refuses. The body of
// an answer fails at its end if CheckFields refuses the trailers.
func NewTransport(base http.RoundTripper) http.RoundTripper { return transport{base} }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close() // the answer is not used
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &checkedBody{resp.Body, resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the other transport.
func (t transport) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// checkedBody checks the trailers at the end of a body.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads from the body.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := CheckFields(b.resp.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

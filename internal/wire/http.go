package wire

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
)

// MaxBodyBytes is the largest body of a request, and of a response to a user or an agent, in
// bytes.
const MaxBodyBytes = 64 << 10

// ContentType is the media type of every body.
const ContentType = "application/cbor"

// ErrBodyTooLarge is returned by ReadBody for a body over the limit.
var ErrBodyTooLarge = errors.New("body too large")

// ReadBody reads a whole body of at most limit bytes.
func ReadBody(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, ErrBodyTooLarge
	}
	return body, nil
}

// ErrorBody is the body of every response that refuses or rejects a request. Field says
// which field of the request is wrong, if the error is about one.
type ErrorBody struct {
	Error string `cbor:"error"`
	Field string `cbor:"field,omitempty"`
}

// WriteResponse writes a response with a status and a CBOR body.
func WriteResponse(w http.ResponseWriter, status int, v any) {
	body := Encode(v)
	header := w.Header()
	header.Set("Content-Type", ContentType)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the client has closed the connection
}

// WriteRetryableError writes a response that says why the request can't be served now, and
// after how many seconds the client should retry it.
func WriteRetryableError(w http.ResponseWriter, status int, reason string, retryAfterSeconds int) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	WriteResponse(w, status, ErrorBody{Error: reason})
}

// IsNotSent reports whether a request failed before anything of it was sent, because the
// connection could not be opened. Such a request is certainly not executed: an attempt to
// connect that was given up does not complete later.
func IsNotSent(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

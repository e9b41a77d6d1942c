package wire

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the largest body of a request, and of an answer to users and
// workers.
const MaxBody = 64 << 10

// ContentType is sent with every body.
const ContentType = "application/cbor"

// maxElements bounds the arrays and maps that are read, above the largest of the
// protocol, a job's 100,000 tasks. It only keeps a damaged length from taking all
// memory: how much is read at all is bounded in bytes.
const maxElements = 131072

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyQuiet,
		MaxNestedLevels:  16,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode writes a value as CBOR. The types of this package always encode.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads one value and refuses trailing bytes.
func Decode(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// IsMap tells whether the bytes begin a CBOR map.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>5 == 5 }

// ErrTooLarge is returned by ReadBody for a body over the limit.
var ErrTooLarge = errors.New("body too large")

// ReadBody reads a whole body of at most max bytes.
func ReadBody(r io.Reader, max int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, max+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > max {
		return nil, ErrTooLarge
	}
	return b, nil
}

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error string `cbor:"error"`
	Field string `cbor:"field,omitempty"`
}

// Answer writes a status with a CBOR body.
func Answer(w http.ResponseWriter, status int, v any) {
	b := Encode(v)
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b) //nolint:errcheck // the client has gone; nothing to do
}

// RefuseRetryable answers at once that the request can't be served now, and when to
// come back.
func RefuseRetryable(w http.ResponseWriter, status int, reason string, retryAfterS int) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterS))
	Answer(w, status, ErrorBody{Error: reason})
}

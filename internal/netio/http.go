package netio

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"lilaclead/internal/wire"
)

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 25 * time.Second

// Transport returns an HTTP/1.1 transport over the network, with bounds on the connections to one host and on all idle ones.
func (n Net) Transport(perHost, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         n.Dial,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: min(perHost, idle),
		MaxIdleConns:        idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Call makes one request with a CBOR body (none if nil; bytes go as they are) and returns the status, the whole answer of at
// most maxAnswer bytes, and the header. A request that has a body is never sent twice: its caller decides on retries, since
// it may have been executed.
func Call(ctx context.Context, client *http.Client, method, url string, body any, maxAnswer int64) (status int, answer []byte, header http.Header, err error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	answer, err = wire.ReadBody(resp.Body, maxAnswer)
	return resp.StatusCode, answer, resp.Header, err
}

// newRequest returns a request that the transport can't send again after a part of its body was sent.
func newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encodeBody(body)))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	req.GetBody = nil
	return req, nil
}

// encodeBody returns the bytes of a request's body.
func encodeBody(body any) []byte {
	if body == nil {
		return nil
	}
	if raw, ok := body.([]byte); ok {
		return raw
	}
	return wire.Encode(body)
}

package netio

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"lilaclead/internal/wire"
)

// idleTimeout is how long an unused connection stays open.
const idleTimeout = 25 * time.Second

// Transport returns an HTTP/1.1 transport over the network. It has at most maxPerHost connections to
// one host, and at most maxIdle idle connections to all hosts.
func (n Network) Transport(maxPerHost, maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext:         n.Dial,
		MaxConnsPerHost:     maxPerHost,
		MaxIdleConnsPerHost: min(maxPerHost, maxIdle),
		MaxIdleConns:        maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Call makes one request and returns the status, the body and the header of the response. The request
// body is encoded as CBOR; nil means no body, and a []byte is sent unchanged. A response body of more
// than maxResponseBytes is an error. A request that has a body is never sent twice: it may have been
// executed, so the caller decides on retries.
func Call(ctx context.Context, client *http.Client, method, url string, body any, maxResponseBytes int64) (status int, responseBody []byte, header http.Header, err error) {
	req, err := newRequest(ctx, method, url, body)
	if err != nil {
		return 0, nil, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	responseBody, err = wire.ReadBody(resp.Body, maxResponseBytes)
	return resp.StatusCode, responseBody, resp.Header, err
}

// newRequest returns a request that the transport can't resend once it has sent a part of the body.
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

// encodeBody returns the bytes of a request body: none for nil, a []byte unchanged, else CBOR.
func encodeBody(body any) []byte {
	if body == nil {
		return nil
	}
	if raw, ok := body.([]byte); ok {
		return raw
	}
	return wire.Encode(body)
}

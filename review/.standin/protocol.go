package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The messages of the protocol page, written down again from that page.

type taskStatus struct {
	Task   string `cbor:"part" json:"part"`
	Try    uint64 `cbor:"try" json:"try"`
	Status string `cbor:"status" json:"status"`
	Cause  string `cbor:"cause,omitempty" json:"cause,omitempty"`
	Saved  bool   `cbor:"saved,omitempty" json:"saved,omitempty"`
}

type report struct {
	Host    string       `cbor:"host" json:"host"`
	Addr    string       `cbor:"addr" json:"addr"`
	Kit     string       `cbor:"kit" json:"kit"`
	Site    string       `cbor:"site" json:"site"`
	Standby bool         `cbor:"standby" json:"standby"`
	Shift   uint64       `cbor:"shift" json:"shift"`
	Tally   uint64       `cbor:"tally" json:"tally"`
	Baton   uint64       `cbor:"baton" json:"baton"`
	Warning *float64     `cbor:"warningS" json:"warningS"`
	Parts   []taskStatus `cbor:"parts" json:"parts"`
}

type order struct {
	Verb     string   `cbor:"verb"`
	Task     string   `cbor:"part"`
	Try      uint64   `cbor:"try"`
	WindDown *float64 `cbor:"windDownS,omitempty"`
}

type orders struct {
	Baton  *uint64 `cbor:"baton"`
	Shift  *uint64 `cbor:"shift,omitempty"`
	Orders []order `cbor:"orders"`
}

type redirect struct {
	ReportsTo string `cbor:"reportsTo"`
}

type jobSpec struct {
	ID            string   `cbor:"nameId"`
	Lane          string   `cbor:"lane"`
	Owner         string   `cbor:"owner"`
	Shape         string   `cbor:"shape"`
	Urgency       string   `cbor:"urgency"`
	Parts         int      `cbor:"parts"`
	CPUs          float64  `cbor:"cpus"`
	Cards         float64  `cbor:"cards"`
	RAM           float64  `cbor:"ramGb"`
	Bundle        string   `cbor:"bundle"`
	ImageGB       float64  `cbor:"imageGb"`
	Kits          []string `cbor:"kits"`
	Site          *string  `cbor:"site"`
	SamePlace     bool     `cbor:"samePlace"`
	Apart         bool     `cbor:"apart"`
	Standby       bool     `cbor:"standby"`
	ExpectedS     float64  `cbor:"expectedS"`
	SnapshotEvery float64  `cbor:"snapshotEveryS"`
	SnapshotS     float64  `cbor:"snapshotS"`
	DueS          *float64 `cbor:"dueS"`
}

type jobState struct {
	ID      string `cbor:"nameId"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

type machineType struct {
	Name      string   `cbor:"name"`
	CPUs      float64  `cbor:"cpus"`
	Cards     float64  `cbor:"cards"`
	RAM       float64  `cbor:"ramGb"`
	LocalGB   float64  `cbor:"localGb"`
	PullGBPS  float64  `cbor:"pullGbPerS"`
	Rate      float64  `cbor:"rate"`
	LowPrice  float64  `cbor:"lowPrice"`
	ReadyS    float64  `cbor:"readyS"`
	Sites     []string `cbor:"sites"`
	bootS     float64
	speedGBPS float64
}

type listedMachine struct {
	Name    string  `cbor:"nameId"`
	Addr    string  `cbor:"addr"`
	Kit     string  `cbor:"kit"`
	Site    string  `cbor:"site"`
	Standby bool    `cbor:"standby"`
	Status  string  `cbor:"status"`
	AgeS    float64 `cbor:"ageS"`
}

// encode returns a value as CBOR. The values are the stand-ins' own, so that it can't fail.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// jsonSize returns the size of a value in JSON, the form in which the pages count sizes.
func jsonSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func writeCBOR(w http.ResponseWriter, status int, v any) {
	body := encode(v)
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// newClient returns an HTTP client of one host with persistent connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
}

// call sends a CBOR request and returns the status and the body of the response; status 0 means
// that there was none in time.
func call(ctx context.Context, client *http.Client, method, url string, body any, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(encode(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

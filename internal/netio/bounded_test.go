package netio_test

import (
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

const (
	localIP = "10.0.0.1"
	// openAddr takes connections; hangingAddr is of a host without power, which lets them hang.
	openIP, openAddr       = "10.0.0.2", "10.0.0.2:1"
	hangingIP, hangingAddr = "10.0.0.3", "10.0.0.3:1"
	// connectionLimit and dialTimeout are those of the bounded network.
	connectionLimit = 2
	dialTimeout     = time.Second
)

// boundedDialer dials over a bounded network.
type boundedDialer struct {
	t       *testing.T
	network netio.Net
}

// dial opens a connection.
func (d *boundedDialer) dial(addr string) (net.Conn, error) {
	return d.network.Dial(d.t.Context(), "tcp4", addr)
}

// mustDial opens a connection that there is room for.
func (d *boundedDialer) mustDial(addr string) net.Conn {
	d.t.Helper()
	begin := time.Now()
	conn, err := d.dial(addr)
	if err != nil {
		d.t.Fatalf("dial %s: %v", addr, err)
	}
	if waited := time.Since(begin); waited > 100*time.Millisecond {
		d.t.Errorf("dial %s waited for %v, want a connection at once", addr, waited)
	}
	return conn
}

// Connections that hang while they are opened count like open ones; beyond the limit nothing is sent, and who waits learns so
// in time.
func TestBounded(t *testing.T) {
	tests := []struct {
		name string
		test func(t *testing.T, d *boundedDialer)
	}{
		{"dial waits while an attempt that hangs takes the last slot", func(t *testing.T, d *boundedDialer) {
			defer d.mustDial(openAddr).Close()
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() {
				if _, err := d.dial(hangingAddr); err == nil {
					t.Error("dial of a host without power succeeded")
				}
			})
			time.Sleep(dialTimeout / 2)
			begin := time.Now()
			conn, err := d.dial(openAddr)
			if waited := time.Since(begin); err != nil || waited < 400*time.Millisecond {
				t.Fatalf("third connection after %v: %v, want one after %v", waited, err, dialTimeout/2)
			}
			conn.Close()
		}},
		{"dial beyond the limit fails after the timeout, unsent", func(t *testing.T, d *boundedDialer) {
			defer d.mustDial(openAddr).Close()
			defer d.mustDial(openAddr).Close()
			begin := time.Now()
			_, err := d.dial(openAddr)
			if err == nil || !wire.IsNotSent(err) {
				t.Errorf("error %v, want one that says that nothing was sent", err)
			}
			if waited := time.Since(begin); waited != dialTimeout {
				t.Errorf("failed after %v, want %v", waited, dialTimeout)
			}
		}},
		{"close frees the slot", func(t *testing.T, d *boundedDialer) {
			first := d.mustDial(openAddr)
			defer d.mustDial(openAddr).Close()
			first.Close()
			d.mustDial(openAddr).Close()
		}},
		{"second close frees no other slot", func(t *testing.T, d *boundedDialer) {
			first := d.mustDial(openAddr)
			defer d.mustDial(openAddr).Close()
			first.Close()
			first.Close()
			defer d.mustDial(openAddr).Close()
			if conn, err := d.dial(openAddr); err == nil {
				conn.Close()
				t.Error("three connections are open, want 2 at most")
			}
		}},
		{"refused connection frees the slot", func(t *testing.T, d *boundedDialer) {
			for range connectionLimit + 1 {
				begin := time.Now()
				_, err := d.dial(openIP + ":2")
				var refused *net.OpError
				if !errors.As(err, &refused) || time.Since(begin) >= dialTimeout {
					t.Errorf("error %v after %v, want a refusal at once", err, time.Since(begin))
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := simulator.NewNetwork(time.Millisecond)
				if _, err := network.Host(openIP).Listen("tcp4", openAddr); err != nil {
					t.Fatal(err)
				}
				network.SetPowerOff(hangingIP, true)
				tt.test(t, &boundedDialer{t, network.Host(localIP).Bounded(connectionLimit, dialTimeout)})
				network.Close()
			})
		})
	}
}

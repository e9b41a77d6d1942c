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
	// openAddr accepts connections. hangingAddr is at a host that is powered off, where dials hang
	// until they time out.
	openIP, openAddr       = "10.0.0.2", "10.0.0.2:1"
	hangingIP, hangingAddr = "10.0.0.3", "10.0.0.3:1"
	// connectionLimit and dialTimeout are the limit and the timeout of the bounded network.
	connectionLimit = 2
	dialTimeout     = time.Second
)

// boundedDialer dials over a bounded network.
type boundedDialer struct {
	t       *testing.T
	network netio.Network
}

func (d *boundedDialer) dial(addr string) (net.Conn, error) {
	return d.network.Dial(d.t.Context(), "tcp4", addr)
}

// mustDial opens a connection and fails the test unless that succeeds without a wait.
func (d *boundedDialer) mustDial(addr string) net.Conn {
	d.t.Helper()
	begin := time.Now()
	conn, err := d.dial(addr)
	if err != nil {
		d.t.Fatalf("dial %s: %v", addr, err)
	}
	if waited := time.Since(begin); waited > 100*time.Millisecond {
		d.t.Errorf("dial %s waited for %v, want no wait", addr, waited)
	}
	return conn
}

// Connections that are being opened count towards the limit like open ones. A dial at the limit sends
// nothing while it waits, and fails after the timeout.
func TestBoundedLimitsOpenAndOpeningConnections(t *testing.T) {
	tests := []struct {
		name string
		test func(t *testing.T, d *boundedDialer)
	}{
		{"dial waits while a hanging dial occupies the last slot", func(t *testing.T, d *boundedDialer) {
			defer d.mustDial(openAddr).Close()
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() {
				if _, err := d.dial(hangingAddr); err == nil {
					t.Error("dial of a host that is powered off succeeded")
				}
			})
			time.Sleep(dialTimeout / 2)
			begin := time.Now()
			conn, err := d.dial(openAddr)
			if waited := time.Since(begin); err != nil || waited < 400*time.Millisecond {
				t.Fatalf("third dial returned after %v with error %v, want a connection after %v", waited, err, dialTimeout/2)
			}
			conn.Close()
		}},
		{"dial at the limit fails after the timeout and sends nothing", func(t *testing.T, d *boundedDialer) {
			defer d.mustDial(openAddr).Close()
			defer d.mustDial(openAddr).Close()
			begin := time.Now()
			_, err := d.dial(openAddr)
			if err == nil || !wire.IsNotSent(err) {
				t.Errorf("dial at the limit: error %v, want one for which IsNotSent is true", err)
			}
			if waited := time.Since(begin); waited != dialTimeout {
				t.Errorf("dial failed after %v, want %v", waited, dialTimeout)
			}
		}},
		{"close frees the slot", func(t *testing.T, d *boundedDialer) {
			first := d.mustDial(openAddr)
			defer d.mustDial(openAddr).Close()
			first.Close()
			d.mustDial(openAddr).Close()
		}},
		{"second close of a connection frees no further slot", func(t *testing.T, d *boundedDialer) {
			first := d.mustDial(openAddr)
			defer d.mustDial(openAddr).Close()
			first.Close()
			first.Close()
			defer d.mustDial(openAddr).Close()
			if conn, err := d.dial(openAddr); err == nil {
				conn.Close()
				t.Error("three connections are open, want at most 2")
			}
		}},
		{"refused connection frees the slot", func(t *testing.T, d *boundedDialer) {
			for range connectionLimit + 1 {
				begin := time.Now()
				_, err := d.dial(openIP + ":2")
				var refused *net.OpError
				if !errors.As(err, &refused) || time.Since(begin) >= dialTimeout {
					t.Errorf("dial of a closed port: error %v after %v, want a refusal without a wait", err, time.Since(begin))
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
				tt.test(t, &boundedDialer{t, network.Host(localIP).WithConnectionLimit(connectionLimit, dialTimeout)})
				network.Close()
			})
		})
	}
}

package netio_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Connections that hang while they are opened count like open ones; beyond the
// bound nothing is sent, and who waits learns so in time.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := simulator.NewNetwork(time.Millisecond)
		if _, err := nw.Host("10.0.0.2").Listen("tcp4", "10.0.0.2:1"); err != nil {
			t.Fatal(err)
		}
		nw.SetPowerOff("10.0.0.3", true)
		bounded := nw.Host("10.0.0.1").Bounded(2, time.Second)
		dial := func(to string) (net.Conn, error) { return bounded.Dial(t.Context(), "tcp4", to) }
		a, err := dial("10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		go dial("10.0.0.3:1") //nolint:errcheck // hangs for a second
		time.Sleep(500 * time.Millisecond)
		begin := time.Now()
		b, err := dial("10.0.0.2:1")
		if err != nil || time.Since(begin) < 400*time.Millisecond {
			t.Errorf("a third connection after %v: %v", time.Since(begin), err)
		}
		if _, err := dial("10.0.0.2:1"); err == nil || !wire.NotSent(err) {
			t.Errorf("beyond the bound: %v", err)
		}
		a.Close()
		a.Close()
		if c, err := dial("10.0.0.2:1"); err != nil {
			t.Error(err)
		} else {
			c.Close()
		}
		b.Close()
		nw.Close()
	})
}

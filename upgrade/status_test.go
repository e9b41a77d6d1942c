package upgrade_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"lilaclead/upgrade"
)

// describeControllers returns one line about the controllers of a status.
func describeControllers(s upgrade.Status) string {
	var descriptions []string
	for _, c := range s.Controllers {
		descriptions = append(descriptions, fmt.Sprintf("%s %d-%d %s", c.Node, c.Min, c.Max, c.Blocker))
	}
	return strings.Join(descriptions, "; ")
}

// The status shows operators each controller, and why it blocks the next version.
func TestStatusShowsWhatBlocksTheNextVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		p := d.start(t, "a", newProgram)
		d.start(t, "b", newProgram)
		awaitPolls()
		check := func(situation, want string) {
			t.Helper()
			s, err := p.ReadStatus(t.Context(), d.withLimit(noVersionLimit))
			if err != nil || s.Active != 1 || s.Next != 2 {
				t.Errorf("%s: got %+v, error %v, want version 1 active, 2 next", situation, s, err)
			}
			if got := describeControllers(s); got != want {
				t.Errorf("%s: got %q, want %q", situation, got, want)
			}
		}
		d.stop("b")
		d.store.Put(upgrade.SupportKey("c"), "no record")
		check("b stopped, record of c damaged", fmt.Sprintf("a 1-2 ; b 1-2 %s; c 0-0 %s", upgrade.NotConnected, upgrade.UndecodableRecord))
		d.store.Delete(upgrade.SupportKey("c"))
		d.setProcess("b", &process{p.Member, func() {}}) // an incarnation that has not published for b
		check("another process of b, no record of c", fmt.Sprintf("a 1-2 ; b 1-2 %s; c 0-0 %s", upgrade.OtherIncarnation, upgrade.NothingPublished))
	})
}

func TestStatusIsReadyOnceAllSupportTheNextVersion(t *testing.T) {
	ready := upgrade.ControllerStatus{Node: "a"}
	blocked := upgrade.ControllerStatus{Node: "b", Blocker: upgrade.NotConnected}
	for _, c := range []struct {
		name   string
		status upgrade.Status
		want   bool
	}{
		{"all ready", upgrade.Status{Active: 1, Next: 2, Controllers: []upgrade.ControllerStatus{ready, ready}}, true},
		{"one blocks it", upgrade.Status{Active: 1, Next: 2, Controllers: []upgrade.ControllerStatus{ready, blocked}}, false},
		{"no next version", upgrade.Status{Active: 2, Next: 2, Controllers: []upgrade.ControllerStatus{ready}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.status.Ready(); got != c.want {
				t.Errorf("%+v: got %v, want %v", c.status, got, c.want)
			}
		})
	}
}

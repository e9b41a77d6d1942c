package leader

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/leader/reconcile"
	"lilaclead/internal/leader/restarts"
	"lilaclead/internal/peer"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// heartbeatTimeout is how long a heartbeat waits for a response from the term's loop.
const heartbeatTimeout = 3 * time.Second

// relayPatience is how long a relayed heartbeat may wait for the leader's answer before the agent is
// checked for a restart of its machine.
const relayPatience = 500 * time.Millisecond

// leaderContactLifetime is how long a peer counts as the leader after its last message to
// this node.
const leaderContactLifetime = 2 * peer.AckLifetime

// errNoMachine means that a heartbeat does not name the machine that sent it.
var errNoMachine = errors.New("heartbeat without a machine")

// heartbeatOutcome says how a heartbeat is answered, and by which node.
type heartbeatOutcome int

const (
	outcomeAnswered       heartbeatOutcome = iota // by the term of this node
	outcomeRelayed                                // by the leader, through this node
	outcomeDelegated                              // by this node as a delegate of the leader
	outcomeRedirected                             // the agent is redirected to the leader
	outcomeRedirectedHere                         // the agent should contact this leader directly
	outcomeRejected                               // the term must not renew the lease
	outcomeUnavailable                            // nobody could answer
)

// heartbeatOutcomeLabels maps outcomes to label values of the heartbeat metric. An outcome
// that is missing here is not counted.
var heartbeatOutcomeLabels = map[heartbeatOutcome]string{
	outcomeAnswered:       "ok",
	outcomeRelayed:        "relayed",
	outcomeDelegated:      "by a delegate",
	outcomeRedirectedHere: "sent here",
	outcomeRejected:       "refused",
}

// labelNotLeading is the label value for heartbeats that agents send to a node that does
// not lead. It is counted in addition to the label of the outcome, if the outcome has one.
const labelNotLeading = "elsewhere"

type heartbeatAnswer struct {
	outcome  heartbeatOutcome
	commands *wire.Commands // if answered here, relayed or delegated
	leader   wire.NodeID    // if redirected
	reason   string         // if rejected or unavailable
}

// ServeHeartbeat handles a heartbeat that an agent sends to this node.
func (l *Leader) ServeHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
	if err != nil {
		w.Header().Set("Connection", "close")
		wire.WriteResponse(w, http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: err.Error()})
		return
	}
	heartbeat, err := decodeHeartbeat(raw)
	if err != nil {
		l.refuseUndecodable(w, "a report from "+undecodable.Sender(r), err)
		return
	}
	l.contacts.record(heartbeat.Machine)
	if t := l.answeringTerm(); t != nil {
		l.writeAnswer(w, t.answerHeartbeat(r.Context(), heartbeat, false))
		return
	}
	l.Metrics.Heartbeat(labelNotLeading)
	l.writeAnswer(w, l.answerAsFollower(r.Context(), heartbeat))
}

// ServeRelayedHeartbeat handles a heartbeat that another node relays to the leader.
func (l *Leader) ServeRelayedHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	heartbeat, err := readHeartbeat(r)
	if err != nil {
		l.refuseUndecodable(w, "a relayed report from "+undecodable.Sender(r), err)
		return
	}
	t := l.answeringTerm()
	if t == nil {
		l.writeAnswer(w, heartbeatAnswer{outcome: outcomeUnavailable, reason: "does not lead"})
		return
	}
	l.writeAnswer(w, t.answerHeartbeat(r.Context(), heartbeat, true))
}

// ServeRelayedProbe handles a probe that the leader sends to an agent through this node.
func (l *Leader) ServeRelayedProbe(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	l.agents.ServeRelayedProbe(w, r, params)
}

// readHeartbeat reads the heartbeat in the body of a request.
func readHeartbeat(r *http.Request) (*wire.Heartbeat, error) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	return decodeHeartbeat(raw)
}

// decodeHeartbeat decodes a heartbeat. One that names no machine is an error.
func decodeHeartbeat(raw []byte) (*wire.Heartbeat, error) {
	var heartbeat wire.Heartbeat
	if err := wire.Decode(raw, &heartbeat); err != nil {
		return nil, err
	}
	if heartbeat.Machine == "" {
		return nil, errNoMachine
	}
	return &heartbeat, nil
}

// refuseUndecodable rejects a request that holds no valid heartbeat, and logs its source.
func (l *Leader) refuseUndecodable(w http.ResponseWriter, source string, err error) {
	l.UndecodableLog.LogOnce(source, err)
	wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a report"})
}

// answerHeartbeat passes a heartbeat to the loop and waits for the response. relayed means
// that the heartbeat came through another node.
func (t *term) answerHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat, relayed bool) heartbeatAnswer {
	call := reconcile.HeartbeatCall{Heartbeat: *heartbeat, Relayed: relayed, Response: make(chan reconcile.HeartbeatResponse, 1)}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	select {
	case t.heartbeatCalls <- call:
	case <-t.Done:
	case <-ctx.Done():
	}
	select {
	case response := <-call.Response:
		return answerOfResponse(response)
	case <-t.Done:
		return heartbeatAnswer{outcome: outcomeUnavailable, reason: "no longer leads"}
	case <-ctx.Done():
		return heartbeatAnswer{outcome: outcomeUnavailable, reason: "busy"}
	}
}

func answerOfResponse(response reconcile.HeartbeatResponse) heartbeatAnswer {
	switch {
	case response.Redirect:
		return heartbeatAnswer{outcome: outcomeRedirectedHere}
	case response.Commands == nil:
		return heartbeatAnswer{outcome: outcomeRejected, reason: response.Rejected.Error()}
	default:
		return heartbeatAnswer{outcome: outcomeAnswered, commands: response.Commands}
	}
}

// answerAsFollower answers a heartbeat while this node does not lead. It relays the heartbeat
// to a connected leader, unless this node recently renewed leases as a delegate. If the
// heartbeat is not relayed, or the leader gives no response, it redirects the agent to the
// leader. If an agent comes back soon after a redirect, it answers as a delegate if it may.
func (l *Leader) answerAsFollower(ctx context.Context, heartbeat *wire.Heartbeat) heartbeatAnswer {
	now := time.Now()
	leader := l.currentLeader(now)
	if leader == "" {
		return l.answerWithoutLeader(heartbeat)
	}
	if !l.Mesh.View().Peers[leader].Connected(now) {
		l.restarts.Check(heartbeat)
	} else if !l.delegate.RenewedRecently() {
		if commands := l.relayHeartbeat(ctx, leader, heartbeat); commands != nil {
			return heartbeatAnswer{outcome: outcomeRelayed, commands: commands}
		}
	}
	if l.delegate.ReturnedAfterRedirect(heartbeat.Machine, now) {
		if commands := l.delegate.Answer(heartbeat); commands != nil {
			return heartbeatAnswer{outcome: outcomeDelegated, commands: commands}
		}
	}
	return heartbeatAnswer{outcome: outcomeRedirected, leader: leader}
}

// answerWithoutLeader answers a heartbeat while no leader is known: this node renews the
// lease as a delegate of the last leader, if it still may. An agent without memory is not answered:
// it would accept the delegate's token, under which launches were sent, and has no task to keep.
func (l *Leader) answerWithoutLeader(heartbeat *wire.Heartbeat) heartbeatAnswer {
	l.restarts.Check(heartbeat)
	if restarts.HasNoMemory(heartbeat) {
		return heartbeatAnswer{outcome: outcomeUnavailable, reason: "no leader known"}
	}
	if commands := l.delegate.Answer(heartbeat); commands != nil {
		return heartbeatAnswer{outcome: outcomeDelegated, commands: commands}
	}
	return heartbeatAnswer{outcome: outcomeUnavailable, reason: "no leader known"}
}

// currentLeader returns the node that leads according to a recent peer heartbeat or, while
// the links between the nodes are down, to the key-value store. It returns "" if neither
// is recent. Older knowledge is not used: a node that is cut off from both would redirect
// agents to a node that no longer leads, which would redirect them back.
func (l *Leader) currentLeader(now time.Time) wire.NodeID {
	view := l.Mesh.View()
	if view.Leader != "" && now.Sub(view.Peers[view.Leader].LastContact) < leaderContactLifetime {
		return view.Leader
	}
	return l.candidate.Holder(now, peer.AckLifetime)
}

// relayHeartbeat forwards a heartbeat to the leader, which answers it if the agent seems
// unable to reach the leader itself. Without this, an agent that is cut off only from the
// leader is redirected back and forth until its lease expires. It returns nil if the leader
// gave no response. If the leader does not answer at once, the agent is checked for a restart.
func (l *Leader) relayHeartbeat(ctx context.Context, leader wire.NodeID, heartbeat *wire.Heartbeat) *wire.Commands {
	overdue := time.AfterFunc(relayPatience, func() { l.restarts.Check(heartbeat) })
	status, raw, err := l.Mesh.Relay(ctx, leader, "/peer/hello", heartbeat)
	overdue.Stop()
	switch {
	case err == nil && status == http.StatusOK:
	case err == nil && status == http.StatusMisdirectedRequest: // the leader wants to hear the agent itself
		return nil
	default:
		l.restarts.Check(heartbeat)
		return nil
	}
	var commands wire.Commands
	if wire.Decode(raw, &commands) != nil {
		return nil
	}
	return &commands
}

// writeAnswer counts an answer and writes it as the response.
func (l *Leader) writeAnswer(w http.ResponseWriter, answer heartbeatAnswer) {
	if label, counted := heartbeatOutcomeLabels[answer.outcome]; counted {
		l.Metrics.Heartbeat(label)
	}
	switch answer.outcome {
	case outcomeAnswered, outcomeRelayed, outcomeDelegated:
		wire.WriteResponse(w, http.StatusOK, answer.commands)
	case outcomeRedirected:
		wire.WriteResponse(w, http.StatusMisdirectedRequest, wire.Redirect{Leader: answer.leader})
	case outcomeRedirectedHere:
		wire.WriteResponse(w, http.StatusMisdirectedRequest, wire.Redirect{Leader: l.Config.HostName})
	case outcomeRejected, outcomeUnavailable:
		wire.WriteRetryableError(w, http.StatusServiceUnavailable, answer.reason, 1)
	}
}

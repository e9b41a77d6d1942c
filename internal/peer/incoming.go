package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/internal/undecodable"
)

// incomingStream is the end of a stream that receives heartbeats.
type incomingStream struct {
	mesh       *Mesh
	sender     string // the host that the request is from
	control    *http.ResponseController
	heartbeats *cbor.Decoder
	answers    *cbor.Encoder
	// replies takes the answer to the heartbeat that was received last.
	replies chan Heartbeat
	// cancelCursor is the position in the log of cancellations up to which they were sent on this stream.
	cancelCursor uint64
}

// ServeHTTP answers the heartbeats of another node's stream until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := &incomingStream{
		mesh:       m,
		sender:     undecodable.Sender(r),
		control:    http.NewResponseController(w),
		heartbeats: cbor.NewDecoder(r.Body),
		answers:    cbor.NewEncoder(w),
		replies:    make(chan Heartbeat, 1),
	}
	w.WriteHeader(http.StatusOK)
	if s.control.Flush() != nil {
		return
	}
	for s.answerNext(r.Context()) == nil {
	}
}

// answerNext answers the next heartbeat, or returns why the stream ends.
func (s *incomingStream) answerNext(ctx context.Context) error {
	heartbeat, err := s.receive()
	if err != nil {
		return err
	}
	answer, err := s.answer(ctx, heartbeat)
	if err != nil {
		return err
	}
	return s.send(answer)
}

// receive returns the next heartbeat, from a known peer.
func (s *incomingStream) receive() (Heartbeat, error) {
	_ = s.control.SetReadDeadline(time.Now().Add(streamIdleTimeout)) // else the stream ends later, by itself
	var heartbeat Heartbeat
	if err := s.heartbeats.Decode(&heartbeat); err != nil {
		s.mesh.logUndecodable("a heartbeat from "+s.sender, err)
		return Heartbeat{}, err
	}
	if _, ok := s.mesh.findPeer(heartbeat.From); !ok {
		return Heartbeat{}, ErrUnknownPeer
	}
	return heartbeat, nil
}

// answer returns the answer to a heartbeat from the goroutine that owns the view.
func (s *incomingStream) answer(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error) {
	select {
	case s.mesh.events <- heartbeatReceived{heartbeat: heartbeat, reply: s.replies}:
	case <-ctx.Done():
		return Heartbeat{}, ctx.Err()
	}
	select {
	case answer := <-s.replies:
		return answer, nil
	case <-ctx.Done():
		return Heartbeat{}, ctx.Err()
	}
}

// send sends an answer, with the cancellations that were not sent yet on this stream.
func (s *incomingStream) send(answer Heartbeat) error {
	answer.Update, s.cancelCursor = s.mesh.cancels.UpdateSince(s.cancelCursor)
	if err := s.answers.Encode(answer); err != nil {
		return err
	}
	return s.control.Flush()
}

// logUndecodable logs a message that has arrived and can't be decoded, rather than one that was cut short. Its stream is opened
// anew, and streams to other nodes go on.
func (m *Mesh) logUndecodable(message string, err error) {
	var wrongType *cbor.UnmarshalTypeError
	var malformed *cbor.SyntaxError
	if errors.As(err, &wrongType) || errors.As(err, &malformed) {
		m.undecodable.LogOnce(message, err)
	}
}

package peer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/internal/undecodable"
)

// incomingStream is the receiving end of a stream: it receives heartbeats and sends responses.
type incomingStream struct {
	mesh       *Mesh
	senderHost string // the host that opened the stream
	control    *http.ResponseController
	heartbeats *cbor.Decoder
	responses  *cbor.Encoder
	// pendingResponse receives the response to the latest heartbeat from the goroutine that owns the
	// view.
	pendingResponse chan Heartbeat
	// cancelCursor is the position in the log of cancellations up to which they were sent on this
	// stream.
	cancelCursor uint64
}

// ServeHTTP answers the heartbeats of another node's stream until it ends.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := &incomingStream{
		mesh:            m,
		senderHost:      undecodable.Sender(r),
		control:         http.NewResponseController(w),
		heartbeats:      cbor.NewDecoder(r.Body),
		responses:       cbor.NewEncoder(w),
		pendingResponse: make(chan Heartbeat, 1),
	}
	w.WriteHeader(http.StatusOK)
	if s.control.Flush() != nil {
		return
	}
	for s.answerNextHeartbeat(r.Context()) == nil {
	}
}

// answerNextHeartbeat receives and answers the next heartbeat. An error ends the stream.
func (s *incomingStream) answerNextHeartbeat(ctx context.Context) error {
	heartbeat, err := s.receiveHeartbeat()
	if err != nil {
		return err
	}
	response, err := s.awaitResponse(ctx, heartbeat)
	if err != nil {
		return err
	}
	return s.sendResponse(response)
}

// receiveHeartbeat returns the next heartbeat. One from an unknown node is an error.
func (s *incomingStream) receiveHeartbeat() (Heartbeat, error) {
	_ = s.control.SetReadDeadline(time.Now().Add(streamIdleTimeout)) // if this fails, a stream without heartbeats ends later
	var heartbeat Heartbeat
	if err := s.heartbeats.Decode(&heartbeat); err != nil {
		s.mesh.logUndecodable("a heartbeat from "+s.senderHost, err)
		return Heartbeat{}, err
	}
	if _, ok := s.mesh.findPeer(heartbeat.From); !ok {
		return Heartbeat{}, ErrUnknownPeer
	}
	return heartbeat, nil
}

// awaitResponse passes a heartbeat to the goroutine that owns the view and returns its response.
func (s *incomingStream) awaitResponse(ctx context.Context, heartbeat Heartbeat) (Heartbeat, error) {
	select {
	case s.mesh.events <- heartbeatReceived{heartbeat: heartbeat, respondTo: s.pendingResponse}:
	case <-ctx.Done():
		return Heartbeat{}, ctx.Err()
	}
	select {
	case response := <-s.pendingResponse:
		return response, nil
	case <-ctx.Done():
		return Heartbeat{}, ctx.Err()
	}
}

// sendResponse sends a response, with the cancellations that were not sent on this stream yet.
func (s *incomingStream) sendResponse(response Heartbeat) error {
	response.Update, s.cancelCursor = s.mesh.cancels.UpdateSince(s.cancelCursor)
	if err := s.responses.Encode(response); err != nil {
		return err
	}
	return s.control.Flush()
}

// logUndecodable logs the error of a message that arrived completely and can't be decoded. It ignores
// the error of a message that was cut short. In both cases only this stream ends, and it is reopened.
func (m *Mesh) logUndecodable(message string, err error) {
	var wrongType *cbor.UnmarshalTypeError
	var malformed *cbor.SyntaxError
	if errors.As(err, &wrongType) || errors.As(err, &malformed) {
		m.undecodable.LogOnce(message, err)
	}
}

// Package autoscaler scales the cluster out and in on behalf of a leader: it requests
// machines from the cloud, returns those that are idle or not trusted, and keeps the
// inventory in step with the cloud's answers.
//
// The cloud knows no fencing tokens. It executes a delayed request of an earlier leader as
// well as one of the current leader. Intents are therefore recorded in the key-value store
// before a request is sent, by a write that fails once another controller holds the lease
// (package duty), and the next leader repeats under the same names what it finds there.
//
// All methods of Scaler are called by the term's loop, except where they say otherwise.
// Requests are sent by goroutines that Loop.Spawn owns; they post their results to the loop.
package autoscaler

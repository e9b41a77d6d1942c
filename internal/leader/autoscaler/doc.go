// Package autoscaler scales the cluster out and in on behalf of a leader: it requests
// machines from the cloud, returns those that are idle or not trusted, and keeps the
// inventory in step with the cloud's responses.
//
// The cloud checks no fencing tokens: it executes a delayed request of an earlier leader just like
// one of the current leader. Therefore, if intents are recorded (see Options), every request is
// recorded as an intent in the key-value store before it is sent. The write of the record fails once
// another controller holds the lease (package duty). The next leader repeats the recorded requests
// under the same names.
//
// All methods of Scaler are called by the term's loop, except where they say otherwise.
// Requests are sent by goroutines that Loop.Spawn owns; they post their results to the loop.
package autoscaler

// Package autoscaler scales the cluster out and in by asking the cloud.
package autoscaler

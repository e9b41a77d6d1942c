// Package core holds what the parts of a term share.
package core

package wire

import (
	"errors"
	"net"
)

// NotSent tells whether a request failed before anything of it was sent: the
// connection could not be opened. Such a request is certainly not executed,
// since an attempt to connect that was given up does not complete later.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

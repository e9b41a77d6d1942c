package wire

import (
	"math"
	"strconv"
)

// JSONSize estimates a value's size in the form in which the state service
// counts it, from above: whatever is escaped, and with a space after each comma
// and colon.
func JSONSize(v any) int {
	var x any
	if err := Decode(Encode(v), &x); err != nil {
		panic(err)
	}
	return jsonSize(x)
}

func jsonSize(v any) int {
	switch x := v.(type) {
	case nil:
		return 4
	case bool:
		return 5
	case string:
		n := 2
		for _, r := range x {
			switch {
			case r > 0xFFFF:
				n += 12
			case r < ' ', r > '~', r == '<', r == '>', r == '&':
				n += 6
			case r == '"', r == '\\':
				n += 2
			default:
				n++
			}
		}
		return n
	case uint64:
		return len(strconv.FormatUint(x, 10))
	case int64:
		return len(strconv.FormatInt(x, 10))
	case float64:
		form := byte('f')
		if a := math.Abs(x); a != 0 && a < 1e-6 || a >= 1e21 {
			form = 'e'
		}
		return len(strconv.FormatFloat(x, form, -1, 64)) + 2
	case []any:
		n := 2
		for _, e := range x {
			n += jsonSize(e) + 2
		}
		return n
	case map[any]any:
		n := 2
		for k, e := range x {
			n += jsonSize(k) + jsonSize(e) + 4
		}
		return n
	default:
		return len(Encode(x)) * 6
	}
}

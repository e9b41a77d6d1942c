package wire

import (
	"math"
	"strconv"
)

// MaxJSONSize returns an upper estimate of a value's size in bytes as the key-value store
// counts it. The store counts the value as JSON; the estimate escapes every character that
// may be escaped, and adds a space after each comma and colon.
func MaxJSONSize(v any) int {
	var generic any
	if err := Decode(Encode(v), &generic); err != nil {
		panic(err)
	}
	return jsonSize(generic)
}

// jsonSize estimates the size of a value of one of the types that Decode returns in an any.
func jsonSize(v any) int {
	switch v := v.(type) {
	case nil:
		return len("null")
	case bool:
		return len("false")
	case string:
		return jsonStringSize(v)
	case uint64:
		return len(strconv.FormatUint(v, 10))
	case int64:
		return len(strconv.FormatInt(v, 10))
	case float64:
		return jsonFloatSize(v)
	case []any:
		return jsonArraySize(v)
	case map[any]any:
		return jsonObjectSize(v)
	default:
		return len(Encode(v)) * len(`\u0000`) // byte strings and tags: every byte escaped
	}
}

func jsonArraySize(elements []any) int {
	size := len("[]")
	for _, element := range elements {
		size += jsonSize(element) + len(", ")
	}
	return size
}

func jsonObjectSize(object map[any]any) int {
	size := len("{}")
	for key, value := range object {
		size += jsonSize(key) + len(": ") + jsonSize(value) + len(", ")
	}
	return size
}

// jsonFloatSize allows for the ".0" that some encoders add to whole numbers.
func jsonFloatSize(f float64) int {
	// encoding/json writes an exponent for absolute values below smallestDecimal, and from
	// smallestExponential on.
	const smallestDecimal, smallestExponential = 1e-6, 1e21
	format := byte('f')
	if abs := math.Abs(f); abs != 0 && abs < smallestDecimal || abs >= smallestExponential {
		format = 'e'
	}
	return len(strconv.FormatFloat(f, format, -1, 64)) + len(".0")
}

func jsonStringSize(s string) int {
	size := len(`""`)
	for _, r := range s {
		size += jsonRuneSize(r)
	}
	return size
}

// jsonRuneSize returns the size of a character, escaped if any of the usual encoders escapes it.
func jsonRuneSize(r rune) int {
	const maxBasicPlane = 0xFFFF // a character beyond it takes two escapes
	switch {
	case r > maxBasicPlane:
		return len(`\u0000\u0000`)
	case r < ' ', r > '~', r == '<', r == '>', r == '&':
		return len(`\u0000`)
	case r == '"', r == '\\':
		return len(`\"`)
	default:
		return 1
	}
}

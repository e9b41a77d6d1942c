package config

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	// RPS and WriteRPS are the requests and the changes that it takes a second.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB is the size of the largest value, TxnOps the number of changes of the
	// largest transaction.
	ValueKB float64 `toml:"value_kb"`
	TxnOps  int     `toml:"txn_ops"`
	// Next are the limits that the store will have from some time on, without further
	// notice; nil: no change is announced.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits holds announced limits of the key-value store; a limit of 0 stays as it is.
type NextStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns, for each limit, the lower of the present and the announced one. A
// request within these limits is taken whether the announced ones are in force already
// or not.
func (s StoreLimits) Strictest() StoreLimits {
	next := s.Next
	if next == nil {
		return s
	}
	return StoreLimits{
		RPS:      lower(s.RPS, next.RPS),
		WriteRPS: lower(s.WriteRPS, next.WriteRPS),
		ValueKB:  lower(s.ValueKB, next.ValueKB),
		TxnOps:   lower(s.TxnOps, next.TxnOps),
	}
}

// lower returns the lower of a present and an announced limit, of which 0 means that
// the present one stays.
func lower[T int | float64](present, announced T) T {
	if announced > 0 {
		return min(present, announced)
	}
	return present
}

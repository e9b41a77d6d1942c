package config

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	// RPS and WriteRPS are the numbers of requests and of writes that the store accepts per
	// second from the whole deployment.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	// ValueKB is the maximum size of a value, in units of 1024 bytes. TxnOps is the maximum
	// number of writes in a transaction.
	ValueKB float64 `toml:"value_kb"`
	TxnOps  int     `toml:"txn_ops"`
	// Next holds the limits that are announced for the store. They take effect at an unknown
	// time, without further notice. Next is nil if no change is announced.
	Next *NextStoreLimits `toml:"next"`
}

// NextStoreLimits holds announced limits of the key-value store. A limit of 0 means that the
// present one stays.
type NextStoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns, for each limit, the lower of the present and the announced one. The store
// accepts a request within these limits whether or not the announced ones are in force yet.
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

// lower returns the lower of a present and an announced limit. An announced limit of 0 means
// that the present one stays.
func lower[T int | float64](present, announced T) T {
	if announced > 0 {
		return min(present, announced)
	}
	return present
}

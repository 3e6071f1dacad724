package schedule

// Work counts what a pool has done since its tenure began.
type Work struct {
	// Plans is the number of plans. HostChecks is how many times they checked whether a host may take a
	// task of a step, Placed how many runs were placed.
	Plans, HostChecks, Placed int64
	// Starts is the number of start orders, Renewals that of applied lease renewals.
	Starts, Renewals int64
}

// Minus returns the work that was done since an earlier count.
func (w Work) Minus(earlier Work) Work {
	return Work{
		w.Plans - earlier.Plans, w.HostChecks - earlier.HostChecks, w.Placed - earlier.Placed, w.Starts - earlier.Starts, w.Renewals - earlier.Renewals,
	}
}

// Work returns what the pool has done so far.
func (p *Pool) Work() Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work
}

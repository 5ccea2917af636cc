package completion

// avoided returns the engines that the current try must not go to, as the request is to be served by
// another software version.
func (s *requestState) avoided() []string {
	switch {
	case s.pin.set:
		return nil
	case s.attempts > 0 || s.firstTryOver:
		return s.r.AvoidLater
	}
	return s.r.Avoid
}

// giveUpFirstTry makes the request look for an engine again, without the restriction of its first try.
// It returns false if there was none, or if it has been tried.
func (s *requestState) giveUpFirstTry() bool {
	if s.attempts > 0 || s.firstTryOver || s.pin.set || len(s.r.Avoid) == 0 {
		return false
	}
	s.firstTryOver = true
	s.excluded = s.failedUpstreams
	return true
}

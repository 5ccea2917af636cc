package event

// Events of single requests.
const (
	RequestPlaced Event = iota + 100
	RequestAnswered
	RequestRefused
	RequestRetried
	RequestFailed
	StreamResumed
	StreamContinued
	StreamCancelled
)

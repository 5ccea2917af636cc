package event

// Events of single requests.
const (
	// RequestPlaced: a request was given to the upstream named, for the reason named; Cached is how many prompt tokens are expected in its cache.
	RequestPlaced Event = iota + 100
	// RequestAnswered: the whole answer was sent; CachedTokens is what the engine said it had cached.
	RequestAnswered
	// RequestRefused: the request got an error and did not run.
	RequestRefused
	// RequestRetried: the request is tried on another upstream, as no byte of its answer has been sent.
	RequestRetried
	// RequestFailed: the request got an error and ran, or may have run.
	RequestFailed
	// StreamResumed: a cut stream goes on from the same engine.
	StreamResumed
	// StreamContinued: another engine goes on with the text that was sent so far.
	StreamContinued
	// StreamCancelled: the caller went away and the engine was told to stop.
	StreamCancelled
)

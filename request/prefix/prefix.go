// Package prefix identifies the long common openings of prompts. A prompt
// becomes a Chain of levels; two prompts share a level exactly if they share
// every byte up to its end and the identity they are cached under.
package prefix

// Identity is what a cached prefix belongs to besides its text. The weights
// version and the engine's incarnation are left out on purpose: they are
// facts about an upstream, kept beside what is known of its cache.
type Identity struct {
	Workspace string
	Model     string
	Adapter   string
}

// Level is one prefix of a prompt.
type Level struct {
	ID     uint64 // hash over the identity and all text up to the level's end
	Tokens int    // estimated tokens from the prompt's start to the level's end
}

// Chain is the levels of one prompt, the shortest prefix first.
type Chain []Level

// Tokens is the estimated length of the whole prompt.
func (c Chain) Tokens() int {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Tokens
}

// Message is one part of a prompt with its role; a plain completion prompt
// is a single Message with an empty role.
type Message struct {
	Role    string
	Content string
}

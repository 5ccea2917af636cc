// Package prefix identifies long common prefixes of prompts. A prompt becomes a Chain
// of levels. Two prompts share a level exactly if they share every byte up to its end
// and the identity that they are cached under.
package prefix

// Identity is what a cached prefix belongs to besides its text. It deliberately leaves
// out the version of the weights and the incarnation of the engine: these describe an
// upstream, and are stored with what is known of its cache.
type Identity struct {
	Workspace string
	Model     string
	Adapter   string
}

// Level is one prefix of a prompt.
type Level struct {
	ID     uint64 // hash of the identity and all text up to the end of the level
	Tokens int    // estimated tokens from the start of the prompt to the end of the level
}

// Chain holds the levels of one prompt, the shortest prefix first.
type Chain []Level

// Tokens returns the estimated length of the whole prompt.
func (c Chain) Tokens() int {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Tokens
}

// Message is one part of a prompt with its role. A plain completion prompt is a single
// Message with an empty role.
type Message struct {
	Role    string
	Content string
}

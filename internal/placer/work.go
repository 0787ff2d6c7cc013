package placer

// Work is what a request asks of an engine.
type Work struct {
	Model string
	// Prompt and Output are in tokens; Output is the most that may come.
	Prompt int64
	Output int64
	// Expected is how much output the caller expects; 0 when it did not say.
	Expected int64
	// Parts make up the prompt, in order. Requests share parts; the last one
	// belongs to the request itself or to its session.
	Parts []Part
}

// Part is a piece of a prompt that engines keep in their caches.
type Part struct {
	ID     uint64
	Tokens int64
}

// Cost is what the work counts against a quota, in tokens.
func (w Work) Cost() float64 {
	return float64(w.Prompt + w.Output)
}

// expected returns the tokens that are likely to come.
func (w Work) expected() int64 {
	if w.Expected <= 0 || w.Expected > w.Output {
		return w.Output
	}
	return w.Expected
}

// memory returns the tokens that a running request keeps from being dropped. The
// first part of a prompt is shared by so many that it hardly counts.
func (w Work) memory() int64 {
	held := w.Prompt + w.expected()
	if len(w.Parts) > 1 {
		held -= w.Parts[0].Tokens
	}
	return held
}

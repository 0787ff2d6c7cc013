package placer

// Work is the work that a request causes at an engine.
type Work struct {
	Model string
	// Prompt is the size of the prompt and Output the limit of the output, both in
	// tokens.
	Prompt int64
	Output int64
	// Expected is the output that the caller expects, in tokens. It is 0 if the
	// caller gave no hint.
	Expected int64
	// Parts are the consecutive parts of the prompt. Any of them may be shared with
	// other requests, except the last one, which belongs to the request or to its
	// session alone.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that an engine caches as a unit.
type PromptPart struct {
	// ID identifies the content of the part.
	ID uint64
	// Tokens is the size of the part.
	Tokens int64
}

// QuotaCost returns the tokens that the work counts against a quota.
func (w Work) QuotaCost() float64 {
	return float64(w.Prompt + w.Output)
}

// Remaining returns the work of going on with a request after a part of its output, in
// tokens: the part is read like a prompt, and is not produced again.
func (w Work) Remaining(produced int64) Work {
	if produced = min(produced, w.Output); produced <= 0 {
		return w
	}
	w.Prompt += produced
	w.Output -= produced
	if w.Expected > 0 {
		w.Expected = max(w.Expected-produced, 1)
	}
	return w
}

// expectedOutput returns the expected size of the output in tokens. Without a
// usable hint that is the limit.
func (w Work) expectedOutput() int64 {
	if w.Expected <= 0 || w.Expected > w.Output {
		return w.Output
	}
	return w.Expected
}

// memoryTokens returns how many tokens of engine memory the request holds while it
// runs. The first part of a prompt of several is left out: so many requests share
// it that it hardly counts for one of them.
func (w Work) memoryTokens() int64 {
	held := w.Prompt + w.expectedOutput()
	if len(w.Parts) > 1 {
		held -= w.Parts[0].Tokens
	}
	return held
}

package invariant

import "strings"

// promptKey identifies a request by its content.
type promptKey struct {
	pool, prompt string
	seed         int64
}

// origin says which engine produced a token under which version.
type origin struct {
	engine  string
	version int64
}

// ending is one way in which an answer ended.
type ending struct {
	length int
	reason string
}

// emissions holds everything that engines emitted for one request.
type emissions struct {
	executions []*Execution
	// tokens[index][text] is the set of origins of that text at that index.
	tokens  map[int]map[string]map[origin]bool
	endings map[ending]bool
}

type index map[promptKey]*emissions

func buildIndex(executions []Execution) index {
	built := index{}
	for i := range executions {
		built.add(&executions[i])
	}
	return built
}

func (x index) add(execution *Execution) {
	key := promptKey{pool: execution.Pool, prompt: execution.Prompt, seed: execution.Seed}
	emitted, ok := x[key]
	if !ok {
		emitted = &emissions{tokens: map[int]map[string]map[origin]bool{}, endings: map[ending]bool{}}
		x[key] = emitted
	}
	emitted.executions = append(emitted.executions, execution)
	for _, token := range execution.Tokens {
		emitted.addToken(token, origin{engine: execution.Engine, version: token.Version})
	}
	if execution.FinishReason != "" {
		emitted.endings[ending{length: execution.Length, reason: execution.FinishReason}] = true
	}
}

func (e *emissions) addToken(token Token, from origin) {
	texts, ok := e.tokens[token.Index]
	if !ok {
		texts = map[string]map[origin]bool{}
		e.tokens[token.Index] = texts
	}
	origins, ok := texts[token.Text]
	if !ok {
		origins = map[origin]bool{}
		texts[token.Text] = origins
	}
	origins[from] = true
}

// lengths returns every number of tokens that spells text, if each token at an index satisfies allowed.
func (e *emissions) lengths(text string, allowed func(index int, origins map[origin]bool) bool) map[int]bool {
	found := map[int]bool{}
	visited := map[[2]int]bool{}
	var walk func(index, offset int)
	walk = func(index, offset int) {
		if visited[[2]int{index, offset}] {
			return
		}
		visited[[2]int{index, offset}] = true
		if offset == len(text) {
			found[index] = true
			return
		}
		for token, origins := range e.tokens[index] {
			if token != "" && strings.HasPrefix(text[offset:], token) && allowed(index, origins) {
				walk(index+1, offset+len(token))
			}
		}
	}
	walk(0, 0)
	return found
}

func anyOrigin(int, map[origin]bool) bool { return true }

// ended reports whether an answer ended by itself at the length for the reason.
func (e *emissions) ended(length int, reason string) bool {
	return e.endings[ending{length: length, reason: reason}]
}

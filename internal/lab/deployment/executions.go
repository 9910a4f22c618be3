package deployment

import (
	"fmt"

	"github.com/covelink/covelink/internal/lab/engine"
	"github.com/covelink/covelink/internal/lab/enginesim"
	"github.com/covelink/covelink/internal/lab/invariant"
)

// ExpectedToken computes the token that a stand-in engine must emit, for invariant.History.
func ExpectedToken(prompt string, seed, version int64, index int) string {
	return enginesim.Token(enginesim.PromptHash(prompt), seed, version, index)
}

// ConvertExecutions turns the records of the engines of a pool into the checker's form, with the prompts that the history
// knows.
func ConvertExecutions(history *invariant.History, pool string, records []engine.Execution) []invariant.Execution {
	known := promptsOf(history)
	executions := make([]invariant.Execution, 0, len(records))
	for _, record := range records {
		executions = append(executions, known.convert(pool, record))
	}
	return executions
}

// prompts finds the prompts of a history by the hash that engines log.
type prompts map[string]string

func promptsOf(history *invariant.History) prompts {
	known := prompts{}
	for _, batch := range history.Batches {
		for _, sample := range batch.Spec.Samples {
			known.add(sample.Prompt)
		}
	}
	for _, call := range history.Calls {
		known.add(call.Prompt)
	}
	return known
}

func (p prompts) add(prompt string) { p[hashText(prompt)] = prompt }

func hashText(prompt string) string { return fmt.Sprintf("%016x", enginesim.PromptHash(prompt)) }

// convert turns an engine's record into the checker's form. A prompt that nobody asked for stays a hash.
func (p prompts) convert(pool string, record engine.Execution) invariant.Execution {
	execution := invariant.Execution{
		RequestID: record.RequestID,
		Attempt:   record.Attempt,
		Engine:    record.Engine,
		Zone:      record.Zone,
		Pool:      pool,
		Prompt:    record.PromptHash,
		Seed:      record.Seed,
		Started:   record.Started,
	}
	if prompt, ok := p[record.PromptHash]; ok {
		execution.Prompt = prompt
		execution.Tokens = tokensOf(prompt, record)
	}
	if record.Finish == enginesim.FinishStop || record.Finish == enginesim.FinishLength {
		execution.FinishReason = record.Finish
		execution.Length = record.Resumed + record.Tokens
	}
	return execution
}

// tokensOf computes the tokens that the execution emitted: the log names their versions, and they follow from these.
func tokensOf(prompt string, record engine.Execution) []invariant.Token {
	hash := enginesim.PromptHash(prompt)
	tokens := make([]invariant.Token, 0, record.Tokens)
	for _, span := range record.Spans {
		for index := span.First; index < span.First+span.Tokens; index++ {
			text := enginesim.Token(hash, record.Seed, span.Version, index)
			tokens = append(tokens, invariant.Token{Index: index, Text: text, Version: span.Version})
		}
	}
	return tokens
}

package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/wheatseam/wheatseam/service"
)

// Bounds of a stream.
const (
	maxLineBytes = 256 << 10
	maxTextBytes = 4 << 20
)

// Errors of a stream.
var (
	ErrCutStream  = errors.New("the stream ended before its last mark")
	ErrLongStream = errors.New("the stream is over its limit")
)

type chunk struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Choices   []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

const (
	dataPrefix = "data: "
	doneMark   = "[DONE]"
)

// readStream reads server-sent events up to the last mark.
func readStream(r io.Reader, g GenerateRequest, token func(string)) (Output, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	var text strings.Builder
	var out Output
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMark {
			out.Text = text.String()
			return out, nil
		}
		part, err := decodeChunk(data, g)
		if err != nil {
			return out, err
		}
		if part == "" {
			continue
		}
		out.Tokens++
		text.WriteString(part)
		if text.Len() > maxTextBytes {
			return out, ErrLongStream
		}
		token(part)
	}
	if err := scanner.Err(); err != nil {
		return out, fmt.Errorf("%w: %w", ErrCutStream, err)
	}
	return out, ErrCutStream
}

func decodeChunk(data []byte, g GenerateRequest) (string, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return "", fmt.Errorf("decode chunk: %w", err)
	}
	if c.RequestID != g.RequestID || c.Attempt != g.Attempt {
		return "", service.ErrForeignAnswer
	}
	if len(c.Choices) == 0 {
		return "", nil
	}
	return c.Choices[0].Delta.Content, nil
}

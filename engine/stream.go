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

// Limits of a stream.
const (
	maxLineBytes = 256 << 10
	maxTextBytes = 4 << 20
)

// Errors of a stream: it ended before the [DONE] marker, or its text is longer than
// maxTextBytes.
var (
	ErrTruncatedStream = errors.New("the stream ended before its last mark")
	ErrStreamTooLong   = errors.New("the stream is over its limit")
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
	doneMarker = "[DONE]"
)

// readStream reads server-sent events up to the [DONE] marker and calls onToken for
// each non-empty part of the text. The error wraps ErrTruncatedStream,
// ErrStreamTooLong or service.ErrMismatchedResponse, or says that a chunk is not
// valid JSON. The output then holds only the number of tokens.
func readStream(r io.Reader, g GenerateRequest, onToken func(string)) (Output, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	var text strings.Builder
	var out Output
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneMarker {
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
			return out, ErrStreamTooLong
		}
		onToken(part)
	}
	if err := scanner.Err(); err != nil {
		return out, fmt.Errorf("%w: %w", ErrTruncatedStream, err)
	}
	return out, ErrTruncatedStream
}

func decodeChunk(data []byte, g GenerateRequest) (string, error) {
	var part chunk
	if err := json.Unmarshal(data, &part); err != nil {
		return "", fmt.Errorf("decode chunk: %w", err)
	}
	if part.RequestID != g.RequestID || part.Attempt != g.Attempt {
		return "", service.ErrMismatchedResponse
	}
	if len(part.Choices) == 0 {
		return "", nil
	}
	return part.Choices[0].Delta.Content, nil
}

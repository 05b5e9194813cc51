// Package prefix tracks which engines have which prompt prefixes in their KV cache.
//
// A prompt is a list of segments. Prompts that begin with the same segments share the
// cached prefill of those segments. An engine that lacks a prefix can copy it from another
// engine that has it, in a fifth of the time and at a tenth of the cost of computing it
// again. Engines report their cache contents late and with gaps, whereas a daemon knows
// immediately which prompts it sent to which engine, and its peers announce theirs.
//
// An Index records each prompt that was sent, with the hashes of its prefixes (of the
// first segment, of the first two segments, and so on), and returns an engine that has the
// longest prefix that another engine lacks. The information may be wrong: an engine may
// have evicted segments, in which case a copy yields less than the whole prefix. An Index
// reads no clock, makes no calls, stores at most MaxPrefixes prefixes and is not safe
// for concurrent use.
package prefix

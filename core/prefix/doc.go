// Package prefix remembers which engines hold which leading parts of prompts.
//
// Prompts that begin with the same parts share what an engine has read of them.
// An engine that lacks parts which another one holds can copy them from there
// in a fifth of the time and for a tenth of the price of reading them again.
// Engines publish what they hold late and with gaps; a daemon knows at once what
// it sent where, and fellows tell it of theirs.
//
// Contract: Holders is told of each prompt that was sent, with the hashes of its
// leading parts (of the first part, of the first two, and so on), and names a
// holder of the longest leading parts that another engine lacks. What it knows
// may be wrong: an engine may have dropped parts, and a copy then brings less
// than all. It keeps no clock, makes no calls, is bounded by MaxParts and is not
// safe for concurrent use.
package prefix

package runner

import (
	"github.com/cespare/xxhash/v2"
)

// Answer returns the tokens that every Runner generates for a prompt. Their
// number is between half of limit and limit; limit must be at least 1.
func Answer(prompt string, limit int) []string {
	seed := xxhash.Sum64String(prompt)
	n := limit/2 + int(seed%uint64(limit-limit/2)) + 1
	n = min(n, limit)
	words := make([]string, n)
	for i := range words {
		seed = seed*6364136223846793005 + 1442695040888963407
		words[i] = randomWord(seed >> 40)
	}
	return words
}

const letters = "abcdefghijklmnopqrstuvwxyz"

func randomWord(n uint64) string {
	var b [4]byte
	for i := range 3 {
		b[i] = letters[n%uint64(len(letters))]
		n /= uint64(len(letters))
	}
	b[3] = ' '
	return string(b[:])
}

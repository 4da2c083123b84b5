package entry

// effectiveKey is the cache key of an effective policy.
type effectiveKey struct{ group, rank string }

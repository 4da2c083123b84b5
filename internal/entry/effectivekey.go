package entry

// effectiveKey identifies an effective policy.
type effectiveKey struct{ group, rank string }

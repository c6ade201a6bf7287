//! Outcomes: what became of a request, and who may say so.

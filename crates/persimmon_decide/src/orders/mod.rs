//! Orders to engines: who may give them and when.

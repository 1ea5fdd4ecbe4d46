//! Pure decisions of an entry process: rules, admission, routing and retries.

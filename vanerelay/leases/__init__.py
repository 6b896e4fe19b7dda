"""Who may do a task of the whole fleet, until when, under which number."""

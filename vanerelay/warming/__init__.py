"""Cache warming: foretells which table groups will be read, and has engines read them before."""

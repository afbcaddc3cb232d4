"""The core: requests, attempts and outcomes; knows no wire, socket or header."""

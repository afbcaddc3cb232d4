"""SIP user agent parts shared by the sip front and the sip desk client: transports bound to transactions."""

// Builds the source file that Debian's libeasyloggingpp-dev ships beside the header.
#include <easylogging++.cc>

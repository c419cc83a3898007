#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include "easylogging++.h"

INITIALIZE_EASYLOGGINGPP

int main(int argc, char** argv) { return Catch::Session().run(argc, argv); }

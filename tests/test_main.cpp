#include <sodium.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aCount, char** aArguments)
{
  // The libraries keep memory in static objects, which would count as leaks of the first test that
  // uses them. The address sanitizer looks for leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  if (sodium_init() < 0) {
    return 1;
  }
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}

#include "app/CommandLine.h"

int main(int argumentCount, char** arguments)
{
    return Auburnpost::runCommandLine(argumentCount, arguments);
}
